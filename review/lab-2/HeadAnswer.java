/*
 * A consumer asks with HEAD on a kept channel, and the worker that runs the request crashes. The consumer then asks
 * with GET on the same channel. Exits with 1 if what it reads there is not the answer to its GET.
 */
import java.io.IOException;
import java.nio.file.*;
import java.util.*;

final class HeadAnswer {
    private static final int WORKERS = 4;

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(arguments[1]));
        Store store = new Store();
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            Worker worker = new Worker("i-" + i, "desk", "z1", store, record);
            worker.behaviour = (request, socket, out) -> {
                if (!request.method().equals("HEAD")) return false;
                Thread.sleep(300);
                if (!hasTrouble) return false;
                record.add("worker " + worker.id + " crashes while it runs " + request.header("request-id"));
                worker.crash();
                return null;
            };
            workers.add(worker);
        }
        Config.put(store, 1, List.of(Config.route("check", "/check/", "idempotent", 2000, 1, "desk")),
            List.of(Config.service("desk")), 15000);
        Gateway gateway = new Gateway("front-1", "z1", store, Path.of(arguments[0]), folder);
        Runtime.getRuntime().addShutdownHook(new Thread(gateway::kill));
        gateway.start();
        int code = 2;
        if (gateway.awaitReady(40)) code = run(gateway, record); else record.add("the gateway was not ready in time");
        record.add("exit " + code);
        System.exit(code);
    }

    private static int run(Gateway gateway, Record record) throws IOException {
        try (Caller caller = new Caller("consumer", gateway.callers, record)) {
            Http.Message first = caller.ask("GET", "/check/1", "id-1", 2000, new byte[0]);
            if (first.status() != 200) return 2;
            Http.Message head = caller.ask("HEAD", "/check/2", "id-2", 2000, new byte[0]);
            if ("close".equalsIgnoreCase(head.header("connection"))) {
                record.add("the gateway ends the channel");
                return 0;
            }
            try {
                Http.Message last = caller.ask("GET", "/check/3", "id-3", 2000, new byte[0]);
                boolean isOwn = last.status() == 200 && Arrays.equals(last.body, Worker.body("id-3"));
                return isOwn ? 0 : 1;
            } catch (IOException broken) {
                record.add("broken rule MIXED: " + broken.getMessage());
                return 1;
            }
        }
    }
}
