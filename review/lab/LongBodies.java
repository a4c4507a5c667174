import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send requests with long bodies, all within `maxBodyBytes`, and for a few seconds 2.4 times as many of them
 * come. Other consumers send short requests on kept channels all the while. A gateway that ends is started again.
 */
final class LongBodies {
    private static final int USUAL_SENDERS = 14;
    private static final double BURST = 2.4;
    private static final long BURST_AT_MILLIS = 4_000;
    private static final long BURST_MILLIS = 4_500;
    private static final long LENGTH_MILLIS = 16_000;
    private static final int BODY_BYTES = 4_190_000;

    /** A consumer's link takes about 3.3 MB a second; all of them together stay below the gateway's own link. */
    private static final int PART_BYTES = 40_000;
    private static final int PART_MILLIS = 12;
    private static final int KEPT_CHANNELS = 60;
    private static final int ORDER_MILLIS = 450;

    /** LOST allows three. */
    private static final int ALLOWED_CUTS = 3;

    private final World world = new World();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger failedUploads = new AtomicInteger();
    private final AtomicInteger ends = new AtomicInteger();
    private volatile boolean isOver;

    private LongBodies() throws IOException {
    }

    public static void main(String[] arguments) throws Exception {
        new LongBodies().run();
    }

    private void run() throws Exception {
        world.server("i-s1", "tn-north-a", this::serve);
        world.server("i-s2", "tn-north-b", this::serve);
        world.configure(
            World.route("order", "non_idempotent", 3_000, 300, 1, false),
            World.route("upload", "non_idempotent", 8_000, 1_000, 1, false));
        world.startGateways(2);
        Gateway gateway = world.gateways.get(0);
        Http.thread(() -> restart(gateway));
        for (int i = 0; i < KEPT_CHANNELS; i++) Http.thread(() -> order(gateway));
        for (int i = 0; i < USUAL_SENDERS; i++) Http.thread(() -> upload(gateway, LENGTH_MILLIS));
        Thread.sleep(BURST_AT_MILLIS);
        if (world.hasTrouble) {
            int more = (int) Math.round(USUAL_SENDERS * (BURST - 1));
            world.record.add("a burst: " + more + " more senders of long bodies beside the " + USUAL_SENDERS);
            for (int i = 0; i < more; i++) Http.thread(() -> upload(gateway, BURST_MILLIS));
        }
        Thread.sleep(LENGTH_MILLIS - BURST_AT_MILLIS);
        isOver = true;
        String result = "short requests answered: " + answered + ", passed on and cut without an answer: " + cut
            + "; long ones answered: " + uploads + ", not: " + failedUploads + "; the gateway ended by itself: " + ends;
        world.record.add(result);
        System.out.println(result);
        if (answered.get() == 0 || uploads.get() == 0) world.finish(2);
        world.finish(cut.get() > ALLOWED_CUTS ? 1 : 0);
    }

    private boolean serve(Http.Message request, java.net.Socket socket, java.io.OutputStream out) throws Exception {
        String id = request.header("Request-Id");
        ran.add(id);
        world.record.add("a server runs " + id + " with " + request.body().length + " bytes");
        Thread.sleep(request.target().startsWith("/order") ? ORDER_MILLIS : 60);
        Http.answer(out, 200, World.proof(request), Http.bytes("done " + id));
        return true;
    }

    /** Starts the gateway again when it has ended, as the platform does. */
    private void restart(Gateway gateway) throws Exception {
        while (!isOver) {
            int status = gateway.process.waitFor();
            if (isOver) return;
            ends.incrementAndGet();
            String last = gateway.logText().lines().filter(it -> it.contains("OutOfMemoryError")).findFirst().orElse("");
            world.record.add(gateway.name + " ended by itself with status " + status + ". " + last);
            Thread.sleep(500);
            if (!isOver) gateway.start();
        }
    }

    /** Sends short requests on a kept channel; after its end, on a new one. */
    private void order(Gateway gateway) throws InterruptedException {
        while (!isOver) {
            try (World.Channel channel = new World.Channel(gateway)) {
                boolean isOpen = true;
                while (!isOver && isOpen) {
                    String id = world.newId();
                    channel.send(World.head("POST", "/order/1", id, 3_000, 10), new byte[10]);
                    isOpen = isAnswered(channel, id);
                    Thread.sleep(20);
                }
            } catch (IOException refused) {
                Thread.sleep(200);
            }
        }
    }

    private boolean isAnswered(World.Channel channel, String id) {
        Http.Message answer = null;
        String end = "the channel is closed";
        try {
            answer = channel.receive(4_000);
        } catch (IOException fault) {
            end = fault.getMessage();
        }
        if (answer != null) {
            answered.incrementAndGet();
            world.record.add("answer " + answer.status() + " to " + id);
            return true;
        }
        boolean isPassedOn = ran.contains(id);
        if (isPassedOn && !isOver) cut.incrementAndGet();
        world.record.add("NO ANSWER to " + id + ": " + end + "; a server ran it: " + isPassedOn);
        return false;
    }

    private void upload(Gateway gateway, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        byte[] body = new byte[BODY_BYTES];
        while (!isOver && System.nanoTime() < until) {
            String id = world.newId();
            try (World.Channel channel = new World.Channel(gateway)) {
                channel.send(World.head("POST", "/upload/1", id, 8_000, body.length), new byte[0]);
                for (int sent = 0; sent < body.length; sent += PART_BYTES) {
                    channel.out.write(body, sent, Math.min(PART_BYTES, body.length - sent));
                    Thread.sleep(PART_MILLIS);
                }
                Http.Message answer = channel.receive(9_000);
                world.record.add("long request " + id + " gets " + (answer == null ? "no answer" : answer.status()));
                (answer == null ? failedUploads : uploads).incrementAndGet();
                Thread.sleep(20);
            } catch (IOException ended) {
                failedUploads.incrementAndGet();
                world.record.add("long request " + id + " ends: " + ended.getMessage());
                Thread.sleep(300);
            }
        }
    }
}
