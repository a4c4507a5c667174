import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: the platform's store, plain servers of one service, gateways, and consumers. */
final class World implements AutoCloseable {
    static final String HOST = "app.example";
    static final String KEY = "k1aaaabbbbccccdddd01";
    static final String SERVICE = "app1";

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record = new Record();
    final Path work;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final long born = System.currentTimeMillis();
    private final AtomicLong beats = new AtomicLong();
    private final AtomicLong requests = new AtomicLong();
    private final Thread ending = new Thread(this::endGateways);

    World() throws IOException {
        work = Files.createTempDirectory("review");
        store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(ending);
    }

    /** Writes the desired state; {@code routes} are JSON objects. */
    void configure(String... routes) {
        store.put("op", "config", "{\"version\":7,\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
            + SERVICE + "\",\"healthPath\":\"/healthz\",\"maxConns\":600,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,"
            + "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team1\",\"apiKeys\":[\"" + KEY
            + "\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0}]}");
    }

    static String route(String path, String type, int timeoutMillis, int targetMillis, int attempts, boolean resumable) {
        return "{\"name\":\"r-" + path + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + path + "/\",\"type\":\"" + type
            + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":" + targetMillis + ",\"priority\":0,\"service\":\""
            + SERVICE + "\",\"attempts\":" + attempts + ",\"public\":false,\"resumable\":" + resumable + "}";
    }

    /** Starts a server that answers with {@code handler} and registers itself about every heartbeat. */
    ServerSocket server(String id, String zone, Http.Handler handler) throws IOException {
        return server(id, zone, "ready", handler);
    }

    /** The same for a server that is draining. */
    ServerSocket drainingServer(String id, String zone, Http.Handler handler) throws IOException {
        return server(id, zone, "draining", handler);
    }

    private ServerSocket server(String id, String zone, String state, Http.Handler handler) throws IOException {
        ServerSocket listener = Http.serve("127.0.0.1", (request, socket, out) -> {
            if (!id.equals(request.header("Expect-Instance"))) {
                Http.answer(out, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n" + echo(request), new byte[0]);
                return true;
            }
            return handler.handle(request, socket, out);
        });
        entries.put(id, "{\"service\":\"" + SERVICE + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\",\"coldLeftMs\":0,\"born\":"
            + born + ",\"sequence\":");
        beat(id);
        Http.thread(() -> {
            while (true) {
                Thread.sleep(1_200);
                beat(id);
            }
        });
        return listener;
    }

    private void beat(String id) {
        store.put("servers", id, entries.get(id) + beats.incrementAndGet() + "}");
    }

    static String echo(Http.Message request) {
        return "Request-Id: " + request.header("Request-Id") + "\r\n";
    }

    /** The headers of an answer of a server that ran {@code request}. */
    static String proof(Http.Message request) {
        return echo(request) + "Server-Signature: s." + request.header("Request-Id") + "\r\n";
    }

    /** Starts gateways and waits until they are ready; ends the case with 2 if they are not. */
    void startGateways(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String zone = i % 2 == 0 ? "tn-north-a" : "tn-north-b";
            Gateway gateway = new Gateway("front-" + (i + 1), "127.0.0." + (2 + i), zone, store.address(), work);
            gateways.add(gateway);
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(30_000)) {
                System.out.println(gateway.name + " did not become ready");
                System.out.println(gateway.logText());
                finish(2);
            }
        }
        Thread.sleep(3_000); // Until the members know each other.
        record.add("the gateways are ready");
    }

    String newId() {
        return String.format("%016x", 0x51a0000000000000L + requests.incrementAndGet());
    }

    /** The head of a proper request. */
    static String head(String method, String path, String id, int deadlineMillis, int bodyLength) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
            + deadlineMillis + "\r\nX-Api-Key: " + KEY + "\r\nContent-Length: " + bodyLength + "\r\n\r\n";
    }

    /** A consumer's channel. */
    static final class Channel implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Channel(Gateway gateway) throws IOException {
            socket = new Socket();
            socket.connect(new java.net.InetSocketAddress(gateway.ip, gateway.frontPort), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            out.write(Http.bytes(head));
            out.write(body);
            out.flush();
        }

        /** The answer; null if the channel ends without one. */
        Http.Message receive(int maximumMillis) throws IOException {
            socket.setSoTimeout(maximumMillis);
            return Http.read(in, true);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void endGateways() {
        for (Gateway gateway : gateways) {
            try {
                gateway.end();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        endGateways();
    }

    /** Writes the record and ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void finish(int status) throws IOException {
        record.write(Path.of(System.getProperty("folder", ".")).resolve("record.txt"));
        endGateways();
        if (Boolean.getBoolean("keep")) System.out.println("kept " + work);
        else try (var files = Files.walk(work)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        System.exit(status);
    }
}
