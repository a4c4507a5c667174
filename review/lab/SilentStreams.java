import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is stopped as planned while it passes on streams that may be resumed. Their server is sound, but preempts
 * each stream for some seconds and then goes on. The other server of the service is draining.
 */
final class SilentStreams {
    private static final int CONSUMERS = 8;
    private static final int EVENTS = 10;
    private static final int SILENT_AFTER = 5;
    private static final int EVENT_MILLIS = 50;

    /** Less than the four seconds for which consumers wait at an objective of one second. */
    private static final int SILENCE_MILLIS = 2_500;

    private final World world = new World();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();

    private SilentStreams() throws IOException {
    }

    public static void main(String[] arguments) throws Exception {
        new SilentStreams().run();
    }

    private void run() throws Exception {
        world.server("i-s1", "tn-north-a", this::serve);
        world.drainingServer("i-s2", "tn-north-b", this::serve);
        world.configure(World.route("chat", "stream", 10_000, 1_000, 2, true));
        world.startGateways(2);
        Gateway gateway = world.gateways.get(0);
        Thread[] consumers = new Thread[CONSUMERS];
        for (int i = 0; i < CONSUMERS; i++) consumers[i] = Http.thread(() -> consume(gateway));
        Thread.sleep(300);
        world.record.add("SIGTERM to " + gateway.name);
        gateway.process.destroy();
        for (Thread consumer : consumers) consumer.join(15_000);
        String result = "whole streams: " + whole + ", cut by the gateway: " + cut;
        world.record.add(result);
        System.out.println(result);
        if (whole.get() + cut.get() < CONSUMERS) world.finish(2);
        world.finish(cut.get() > 0 ? 1 : 0);
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("Request-Id");
        String last = request.header("Last-Event-Id");
        ran.add(id);
        world.record.add("a server runs " + id + (last == null ? "" : " after event " + last));
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + World.proof(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        try {
            for (int number = last == null ? 1 : Integer.parseInt(last) + 1; number <= EVENTS; number++) {
                if (number == SILENT_AFTER + 1 && world.hasTrouble) {
                    world.record.add("the server preempts " + id + " after event " + SILENT_AFTER);
                    Thread.sleep(SILENCE_MILLIS);
                    world.record.add("the server goes on with " + id);
                }
                byte[] event = Http.bytes("id: " + number + "\ndata: " + id + "\n\n");
                out.write(Http.bytes(Integer.toHexString(event.length) + "\r\n"));
                out.write(event);
                out.write(Http.bytes("\r\n"));
                out.flush();
                Thread.sleep(EVENT_MILLIS);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
            world.record.add("the server has ended " + id + " in order");
        } catch (IOException closed) {
            world.record.add("the gateway has closed the channel of " + id + " to its server");
            throw closed;
        }
        return true;
    }

    private void consume(Gateway gateway) throws IOException {
        try (World.Channel channel = new World.Channel(gateway)) {
            String id = world.newId();
            world.record.add("sent " + id);
            long sentAt = System.nanoTime();
            channel.send(World.head("POST", "/chat/1", id, 10_000, 10), new byte[10]);
            boolean isWhole = false;
            try {
                Http.Message answer = channel.receive(11_000);
                isWhole = answer != null && answer.status() == 200
                    && new String(answer.body()).contains("id: " + EVENTS + "\n");
            } catch (IOException ended) {
                // The channel ended inside the answer.
            }
            (isWhole ? whole : cut).incrementAndGet();
            world.record.add(id + (isWhole ? " gets its whole stream " : " is CUT ")
                + (System.nanoTime() - sentAt) / 1_000_000 + " ms after it was sent; run: " + ran.contains(id));
        }
    }
}
