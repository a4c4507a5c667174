/* A process of the project's gateway, started with the command of the deploy file. */
import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;

final class Gateway {
    final String name;
    final int callers, ready;
    final Path settings, log;
    private final Path root;
    private final String text;
    Process process;

    Gateway(String name, String zone, Store store, Path root, Path folder) throws IOException {
        this.name = name;
        this.root = root;
        int[] ports = freePorts(5);
        callers = ports[0];
        ready = ports[1];
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log");
        text = String.join("\n", "nodeName=" + name, "role=gateway", "machineClass=front", "serves=front",
            "ip=127.0.0.1", "zone=" + zone, "region=r1", "listen.front=127.0.0.1:" + callers,
            "listen.ready=127.0.0.1:" + ready, "listen.controlPlane=127.0.0.1:" + ports[2],
            "portRange=" + ports[3] + "," + ports[4], "bootstrap=true", "limits.linkMbps=1000.0",
            "heartbeatMs=1200", "bounds.touchMs=3000", "bounds.drainMs=2000", "bounds.gracePeriodS=8",
            "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.retryBudgetRatio=0.2",
            "bounds.budgetWindowS=10", "bounds.budgetSlack=56", "bounds.quotaWindowS=8", "bounds.quotaOverage=0.1",
            "bounds.quotaSlack=72000", "bounds.leaseTtlMs=3000", "provider.address=" + store.address(),
            "provider.form=table", "provider.rowBytes=65536", "");
        Files.writeString(settings, text);
    }

    /** Starts a process; each one has a log of its own, which continues the file. */
    void start() throws IOException {
        List<String> command = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command = new ArrayList<>(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("LENTILQUAY_BOOT", settings.toString());
        process = builder.start();
    }

    /** Waits until the readiness check answers 200, as the platform asks it; returns whether it did in time. */
    boolean awaitReady(long seconds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", ready)) {
            socket.setSoTimeout(1000);
            Http.write(socket.getOutputStream(), "GET /lentilquay/readyz HTTP/1.1", List.of("Host: ready"), new byte[0]);
            return Http.response(new BufferedInputStream(socket.getInputStream()), "GET").status() == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process, if there is one. */
    void kill() {
        if (process != null) process.destroyForcibly();
    }

    void end() throws InterruptedException {
        if (process == null) return;
        kill();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        Arrays.sort(ports);
        return ports;
    }
}
