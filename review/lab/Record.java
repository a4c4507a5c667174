import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time since the start of the case. */
final class Record {
    private final List<String> lines = new ArrayList<>();
    private final long startedAt = System.nanoTime();

    synchronized void add(String text) {
        String line = String.format("%8.3f s  %s", (System.nanoTime() - startedAt) / 1e9, text);
        lines.add(line);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
