import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer without a length, so that an answer ends with its channel. For some seconds, three servers in five
 * break off three answers in a hundred: they send a part of one and reset the channel. With the argument `answers` the
 * requests are plain ones, with `streams` they are streams.
 */
final class BrokenOff {
    private static final int SERVERS = 5;
    private static final int FAULTY_SERVERS = 3;
    private static final double FAULTY_ANSWERS = 0.03;
    private static final long TROUBLE_AT_MILLIS = 3_000;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final long LENGTH_MILLIS = 12_000;
    private static final int CONSUMERS = 64;
    private static final int BODY_BYTES = 800;
    private static final int EVENTS = 8;

    private final World world = new World();
    private final boolean isStream;

    /** The requests whose answers were broken off. Only these are recorded one by one. */
    private final Set<String> broken = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refusedOrCut = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();
    private final AtomicInteger truncated = new AtomicInteger();
    private volatile boolean isTroubled;
    private volatile boolean isOver;

    private BrokenOff(boolean isStream) throws IOException {
        this.isStream = isStream;
    }

    public static void main(String[] arguments) throws Exception {
        new BrokenOff(arguments[0].equals("streams")).run();
    }

    private void run() throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            boolean isFaulty = i <= FAULTY_SERVERS;
            world.server("i-s" + i, i % 2 == 0 ? "tn-north-a" : "tn-north-b",
                (request, socket, out) -> serve(request, socket, out, isFaulty));
        }
        world.configure(
            World.route("order", "non_idempotent", 3_000, 300, 1, false),
            World.route("chat", "stream", 8_000, 1_000, 1, false));
        world.startGateways(2);
        for (int i = 0; i < CONSUMERS; i++) {
            Gateway gateway = world.gateways.get(i % 2);
            Http.thread(() -> consume(gateway));
        }
        Thread.sleep(TROUBLE_AT_MILLIS);
        if (world.hasTrouble) {
            isTroubled = true;
            world.record.add("three servers in five break off three answers in a hundred from now on");
        }
        Thread.sleep(TROUBLE_MILLIS);
        isTroubled = false;
        world.record.add("no answer is broken off from now on");
        Thread.sleep(LENGTH_MILLIS - TROUBLE_AT_MILLIS - TROUBLE_MILLIS);
        isOver = true;
        String result = "whole: " + whole + ", failed or cut: " + refusedOrCut + ", broken off by servers: " + brokenOff
            + ", of these passed on as complete: " + truncated;
        world.record.add(result);
        System.out.println(result);
        if (whole.get() == 0 || (world.hasTrouble && brokenOff.get() == 0)) world.finish(2);
        world.finish(truncated.get() > 0 ? 1 : 0);
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out, boolean isFaulty) throws Exception {
        String id = request.header("Request-Id");
        boolean isBroken = isTroubled && isFaulty && ThreadLocalRandom.current().nextDouble() < FAULTY_ANSWERS;
        String type = isStream ? "Content-Type: text/event-stream\r\n" : "";
        byte[] head = Http.bytes("HTTP/1.1 200 OK\r\n" + World.proof(request) + type + "Connection: close\r\n\r\n");
        Thread.sleep(20);
        out.write(head);
        int parts = isStream ? EVENTS : 1;
        int brokenAt = isBroken ? ThreadLocalRandom.current().nextInt(1, parts + 1) : 0;
        for (int number = 1; number <= parts; number++) {
            byte[] part = isStream ? event(id, number) : body(id);
            if (number == brokenAt) {
                broken.add(id);
                brokenOff.incrementAndGet();
                world.record.add("a server breaks off its answer to " + id + " in part " + number + " of " + parts);
                socket.setSoLinger(true, 0); // Closing resets the channel.
                out.write(part, 0, part.length / 2);
                return false;
            }
            out.write(part);
            if (isStream) Thread.sleep(10);
        }
        return false;
    }

    private static byte[] event(String id, int number) {
        return Http.bytes("id: " + number + "\ndata: " + id + " piece " + number + " of " + EVENTS + "\n\n");
    }

    private static byte[] body(String id) {
        return Http.bytes((id + " ").repeat(BODY_BYTES / (id.length() + 1)));
    }

    private static byte[] wholeAnswer(String id, boolean isStream) {
        if (!isStream) return body(id);
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (int number = 1; number <= EVENTS; number++) all.writeBytes(event(id, number));
        return all.toByteArray();
    }

    private void consume(Gateway gateway) throws InterruptedException {
        String id = "";
        while (!isOver) {
            try (World.Channel channel = new World.Channel(gateway)) {
                while (!isOver) {
                    id = world.newId();
                    channel.send(World.head("POST", isStream ? "/chat/1" : "/order/1", id, 8_000, 10), new byte[10]);
                    Http.Message answer = channel.receive(9_000);
                    if (answer == null) break;
                    judge(id, answer);
                    Thread.sleep(10);
                }
            } catch (IOException ended) {
                // The channel ended inside an answer, which the consumer sees.
                refusedOrCut.incrementAndGet();
                world.record.add(id + " was sent and gets a cut answer: " + ended.getMessage());
            }
        }
    }

    /** A success must have the whole body; {@link Http#read} throws if a chunked answer or a length is cut. */
    private void judge(String id, Http.Message answer) {
        if (answer.status() != 200) {
            refusedOrCut.incrementAndGet();
            world.record.add(id + " was sent and gets " + answer.status());
            return;
        }
        byte[] expected = wholeAnswer(id, isStream);
        if (java.util.Arrays.equals(expected, answer.body())) {
            whole.incrementAndGet();
            if (broken.contains(id)) world.record.add(id + " was broken off and gets a whole answer of another run");
            return;
        }
        truncated.incrementAndGet();
        world.record.add("TRUNCATED: " + id + " gets 200 and a complete answer of " + answer.body().length + " bytes of "
            + expected.length + ", proof: " + answer.header("Server-Signature"));
    }
}
