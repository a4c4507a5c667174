/*
 * Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"): rows, transactions and feeds. It
 * loses nothing, answers in order and follows the conditions of transactions.
 */
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

final class Store {
    private record Key(String table, String part, String key) {}
    private static final class Row {
        String value;
        long version;
    }
    /** What the store does with a call. */
    enum Mode { SERVE, BUSY, SILENT }

    private final ServerSocket listener;
    private final TreeMap<Key, Row> rows = new TreeMap<>(
        Comparator.comparing(Key::table).thenComparing(Key::part).thenComparing(Key::key));
    private long version = 0;
    private final long start = System.nanoTime();
    volatile Mode mode = Mode.SERVE;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Http.serve(listener, this::serve);
    }

    String address() { return "127.0.0.1:" + listener.getLocalPort(); }

    /** Writes a row as the operator or a worker does; null removes it. Returns when it is acknowledged. */
    synchronized long put(String table, String key, String text) {
        Row row = rows.computeIfAbsent(new Key(table, "", key), k -> new Row());
        row.value = text == null ? null : Base64.getEncoder().encodeToString(Http.bytes(text));
        row.version = ++version;
        notifyAll();
        return version;
    }

    /** The text of a row, or null. */
    synchronized String get(String table, String key) {
        Row row = rows.get(new Key(table, "", key));
        return row == null || row.value == null
            ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private long nowMillis() { return 1_000_000 + (System.nanoTime() - start) / 1_000_000; }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        Http.Message request;
        while ((request = Http.request(in)) != null) {
            if (mode == Mode.SILENT) Thread.sleep(60_000);
            if (mode == Mode.BUSY) {
                answer(out, 503, "{}");
                continue;
            }
            Thread.sleep(2);
            String path = request.target().replaceAll("\\?.*", "");
            Map<String, String> query = query(request.target());
            if (path.equals("/lentilquay/rows-tx")) transact(out, Json.object(request.text()));
            else if (path.equals("/lentilquay/rows-get")) read(out, query);
            else if (path.equals("/lentilquay/rows-feed")) feed(out, query);
            else answer(out, 404, "{}");
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start < 0) return query;
        for (String pair : target.substring(start + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals),
                URLDecoder.decode(pair.substring(equals + 1).replace("+", "%2B"), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(OutputStream out, int status, String body) throws IOException {
        byte[] bytes = Http.bytes(body);
        Http.write(out, "HTTP/1.1 " + status + " -",
            List.of("Content-Type: application/json", "Content-Length: " + bytes.length), bytes);
    }

    private Map<String, Object> wire(Key key, Row row) {
        Map<String, Object> wire = Json.of("table", key.table, "part", key.part, "key", key.key, "ver", row.version);
        if (row.value == null) wire.put("removed", true); else wire.put("value", row.value);
        return wire;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> body, String name) {
        Object list = body.get(name);
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    private static Key key(Map<String, Object> wire) {
        return new Key((String) wire.get("table"), (String) wire.getOrDefault("part", ""), (String) wire.get("key"));
    }

    private void transact(OutputStream out, Map<String, Object> body) throws Exception {
        Thread.sleep(3);
        int status = 200;
        String answer;
        synchronized (this) {
            for (Map<String, Object> expected : list(body, "expected")) {
                Row row = rows.get(key(expected));
                long present = row == null || row.value == null ? 0 : row.version;
                if (present != ((Number) expected.get("ver")).longValue()) status = 412;
            }
            List<Object> current = new ArrayList<>();
            if (status == 200) {
                version++;
                for (Map<String, Object> put : list(body, "put")) {
                    Row row = rows.computeIfAbsent(key(put), k -> new Row());
                    row.value = (String) put.get("value");
                    row.version = version;
                }
                for (Map<String, Object> remove : list(body, "remove")) {
                    Row row = rows.get(key(remove));
                    if (row == null) continue;
                    row.value = null;
                    row.version = version;
                }
                notifyAll();
            } else {
                for (Map<String, Object> expected : list(body, "expected")) {
                    Row row = rows.get(key(expected));
                    if (row != null && row.value != null) current.add(wire(key(expected), row));
                }
            }
            Map<String, Object> map = Json.of("ver", version, "nowMs", nowMillis());
            if (status == 412) map.put("rows", current);
            answer = Json.write(map);
        }
        answer(out, status, answer);
    }

    private void read(OutputStream out, Map<String, String> query) throws IOException {
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        String answer;
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                Key key = entry.getKey();
                if (entry.getValue().value == null || !key.table.equals(query.get("table"))) continue;
                if (!key.part.equals(query.getOrDefault("part", ""))) continue;
                if (query.containsKey("from") && key.key.compareTo(query.get("from")) < 0) continue;
                if (query.containsKey("to") && key.key.compareTo(query.get("to")) >= 0) continue;
                if (found.size() == Math.min(limit, 500)) {
                    more = true;
                    break;
                }
                found.add(wire(key, entry.getValue()));
            }
            answer = Json.write(Json.of("rows", found, "morePages", more, "ver", version, "nowMs", nowMillis()));
        }
        answer(out, 200, answer);
    }

    private void feed(OutputStream out, Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        String answer;
        synchronized (this) {
            List<Object> changed;
            while (true) {
                changed = new ArrayList<>();
                TreeMap<Long, Object> byVersion = new TreeMap<>();
                for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                    if (entry.getKey().table.equals(query.get("table")) && entry.getValue().version > after) {
                        changed.add(wire(entry.getKey(), entry.getValue()));
                    }
                }
                changed.sort(Comparator.comparingLong(row -> ((Number) ((Map<?, ?>) row).get("ver")).longValue()));
                long left = until - System.currentTimeMillis();
                if (!changed.isEmpty() || left <= 0) break;
                wait(left);
            }
            answer = Json.write(Json.of("rows", changed, "ver", version, "nowMs", nowMillis()));
        }
        if (mode == Mode.SILENT) Thread.sleep(60_000);
        answer(out, 200, answer);
    }
}
