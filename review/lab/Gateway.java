import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the command of the deploy file. */
final class Gateway {
    final String name;
    final String ip;
    final int frontPort;
    final int readyPort;
    private final Path settings;
    private final Path log;
    Process process;

    /** Writes the settings of DEPLOY.md's example, with the bounds of the installation nour-prod. */
    Gateway(String name, String ip, String zone, String store, Path work) throws IOException {
        this.name = name;
        this.ip = ip;
        int[] ports = freePorts(ip, 5);
        frontPort = ports[0];
        readyPort = ports[1];
        settings = work.resolve(name + ".conf");
        log = work.resolve(name + ".log");
        String address = ip + ":";
        Files.write(settings, List.of(
            "nodeName=" + name, "role=gateway", "machineClass=front", "serves=front", "ip=" + ip, "zone=" + zone,
            "region=tn-north", "listen.front=" + address + frontPort, "listen.ready=" + address + readyPort,
            "listen.controlPlane=" + address + ports[2], "portRange=" + ports[3] + "," + ports[4], "bootstrap=true",
            "limits.cpuShare=0.75", "limits.cpuCores=1", "limits.memoryMb=430", "limits.maxFds=4100",
            "discovery=platform", "entry=virtual_ip", "heartbeatMs=1200", "bounds.drainMs=2000", "bounds.gracePeriodS=8",
            "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.retryBudgetRatio=0.2",
            "bounds.budgetWindowS=10", "bounds.budgetSlack=54", "bounds.quotaWindowS=8", "bounds.quotaSlack=72000",
            "bounds.leaseTtlMs=3000", "bounds.thawMs=300", "bounds.requireFence=false", "provider.address=" + store,
            "provider.form=table"));
    }

    private static int[] freePorts(String ip, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(ip));
        for (int i = 0; i < count; i++) {
            ports[i] = sockets[i].getLocalPort();
            sockets[i].close();
        }
        return ports;
    }

    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(it -> it.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("LENTILQUAY_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.directory(new File(".").getAbsoluteFile()).start();
    }

    /** Waits until the readiness check answers 200; returns whether it did within {@code millis}. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket(ip, readyPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /lentilquay/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException closed) {
            return false;
        }
    }

    String logText() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    void end() throws InterruptedException {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
