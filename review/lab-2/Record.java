/* The record of one run: what was sent, answered and run, with the time since its start. */
import java.io.*;
import java.nio.file.*;

final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException { out = new PrintWriter(Files.newBufferedWriter(file)); }

    synchronized void add(String text) {
        out.printf("%8.3f s  %s%n", (System.nanoTime() - start) / 1e9, text);
        out.flush();
    }
}
