import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL.md describes it: rows, transactions with conditions, and feeds. */
final class Store {
    private record Row(String table, String part, String key, String value, long version, boolean removed) {
        String json() {
            String text = value == null ? "" : ",\"value\":" + Json.quote(value);
            return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
                + text + ",\"ver\":" + version + (removed ? ",\"removed\":true" : "") + "}";
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 1;
    private final long startedAt = System.nanoTime();
    final ServerSocket listener;

    Store(String ip) throws IOException {
        listener = Http.serve(ip, this::handle);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a row as the operator or a server does. */
    synchronized void put(String table, String key, String json) {
        version++;
        write(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void write(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version, value == null);
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(part + "\0" + key, row);
    }

    private boolean handle(Http.Message request, java.net.Socket socket, OutputStream out) throws Exception {
        Thread.sleep(4);
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        switch (path) {
            case "/lentilquay/rows-tx" -> transact(request, out);
            case "/lentilquay/rows-get" -> answer(out, 200, read(query), false);
            case "/lentilquay/rows-feed" -> answer(out, 200, feed(query), false);
            default -> Http.answer(out, 404, "", new byte[0]);
        }
        return true;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        if (!target.contains("?")) return query;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized List<Row> read(Map<String, String> query) {
        String part = query.getOrDefault("part", "");
        List<Row> rows = new ArrayList<>();
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            boolean isAfter = !query.containsKey("from") || row.key.compareTo(query.get("from")) >= 0;
            boolean isBefore = !query.containsKey("to") || row.key.compareTo(query.get("to")) < 0;
            if (!row.removed && row.part.equals(part) && isAfter && isBefore) rows.add(row);
        }
        return rows;
    }

    private synchronized List<Row> feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
                if (row.version > after) changed.add(row);
            }
            long left = (until - System.nanoTime()) / 1_000_000L;
            if (!changed.isEmpty() || left <= 0) return changed;
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void transact(Http.Message request, OutputStream out) throws IOException {
        Map<String, Object> call = Json.object(new String(request.body(), StandardCharsets.UTF_8));
        List<Row> unmet = new ArrayList<>();
        for (Object entry : (List<Object>) call.getOrDefault("expected", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            Row known = tables.getOrDefault(row.get("table"), new TreeMap<>())
                .get(row.getOrDefault("part", "") + "\0" + row.get("key"));
            long present = known == null || known.removed ? 0 : known.version;
            if (present != ((Double) row.getOrDefault("ver", 0.0)).longValue() && known != null) unmet.add(known);
            else if (known == null && ((Double) row.getOrDefault("ver", 0.0)) != 0) {
                unmet.add(new Row((String) row.get("table"), "", (String) row.get("key"), null, 0, true));
            }
        }
        if (!unmet.isEmpty()) {
            answer(out, 412, unmet, true);
            return;
        }
        version++;
        for (Object entry : (List<Object>) call.getOrDefault("put", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            write((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"),
                (String) row.get("value"));
        }
        for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            write((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"), null);
        }
        notifyAll();
        answer(out, 200, List.of(), true);
    }

    private void answer(OutputStream out, int status, List<Row> rows, boolean isTransaction) throws IOException {
        StringBuilder json = new StringBuilder("{");
        synchronized (this) {
            if (!isTransaction || !rows.isEmpty()) {
                json.append("\"rows\":[");
                for (int i = 0; i < rows.size(); i++) json.append(i == 0 ? "" : ",").append(rows.get(i).json());
                json.append("],\"morePages\":false,");
            }
            json.append("\"ver\":").append(version).append(",\"nowMs\":")
                .append((System.nanoTime() - startedAt) / 1_000_000L).append('}');
        }
        Http.answer(out, status, "Content-Type: application/json\r\n", json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
