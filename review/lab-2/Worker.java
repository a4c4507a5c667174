/*
 * Stand-in for a plain worker (PROTOCOL.md, "Workers"): registers itself, repeats ids, signs its answers, answers 421 to
 * requests that name another instance. [behaviour] may answer a request itself.
 */
import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

final class Worker {
    /** Runs a request; returns whether it has dealt with the answer itself, or null to close the connection. */
    interface Behaviour { Boolean run(Http.Message request, Socket socket, OutputStream out) throws Exception; }

    final String id;
    private final Store store;
    private final String service, zone;
    private final Record record;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean isGone = false;
    volatile Behaviour behaviour = (request, socket, out) -> false;
    volatile String state = "ready";

    Worker(String id, String service, String zone, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Http.serve(listener, this::serve);
        register();
    }

    String address() { return "127.0.0.1:" + listener.getLocalPort(); }

    /** Writes the entry of this worker into the store. */
    void register() {
        store.put("servers", id, Json.write(Json.of("service", service, "address", address(), "zone", zone,
            "version", "v1", "slots", 64, "state", state, "coldLeftMs", 0, "sequence", 0, "born", 1_700_000_000_000L)));
    }

    /** Crashes: closes all connections and listens no more. */
    void crash() throws IOException {
        isGone = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        sockets.add(socket);
        try {
            Http.Message request;
            while ((request = Http.request(in)) != null && !isGone) {
                String expected = request.header("expect-instance");
                String requestId = request.header("request-id");
                if (expected != null && !expected.equals(id)) {
                    answer(out, 421, request, List.of("Instance-Id: " + id), new byte[0]);
                    continue;
                }
                if (request.target().equals("/healthz")) {
                    answer(out, 200, request, List.of("Instance-Id: " + id), new byte[0]);
                    continue;
                }
                if (requestId == null) {
                    answer(out, 400, request, List.of("Not-Executed: 1"), new byte[0]);
                    continue;
                }
                record.add("worker " + id + " runs " + request.method() + " " + request.target() + " " + requestId);
                Boolean isDone = behaviour.run(request, socket, out);
                if (isDone == null) return;
                if (!isDone) succeed(out, request);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** The body of a worker's answer to the request [requestId]. */
    static byte[] body(String requestId) { return Http.bytes("done " + requestId + "\n"); }

    /** Answers with success and a body that names the request. */
    void succeed(OutputStream out, Http.Message request) throws IOException {
        answer(out, 200, request, List.of("Server-Signature: sig-" + id), body(request.header("request-id")));
    }

    /** A response to HEAD has the headers of a response to GET and no body. */
    private void answer(OutputStream out, int status, Http.Message request, List<String> more, byte[] body)
        throws IOException {
        List<String> headers = new ArrayList<>(more);
        if (request.header("request-id") != null) headers.add("Request-Id: " + request.header("request-id"));
        headers.add("Content-Length: " + body.length);
        Http.write(out, "HTTP/1.1 " + status + " -", headers, request.method().equals("HEAD") ? new byte[0] : body);
    }
}
