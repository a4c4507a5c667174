/* Reads and writes HTTP/1.1 messages on a socket, as far as the stand-ins need them. */
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

final class Http {
    /** A message: [start] is the request line or the status line. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }
        String method() { return start.split(" ")[0]; }
        String target() { return start.split(" ")[1]; }
        int status() { return Integer.parseInt(start.split(" ")[1]); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    /** The line up to CR LF, or null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                String line = out.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            out.write(c);
        }
        if (out.size() > 0) throw new EOFException("the connection ended within the line " + out);
        return null;
    }

    /** The head of the next message, or null at the end of the input. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) return null;
        message.start = line;
        while (!(line = line(in)).isEmpty()) {
            int colon = line.indexOf(':');
            if (colon <= 0) throw new IOException("not a header: " + line);
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) readBody(in, message);
        return message;
    }

    /** The next response; [method] is that of its request, because a response to HEAD has no body (RFC 9110, 9.3.2). */
    static Message response(InputStream in, String method) throws IOException {
        Message message = head(in);
        if (message == null) throw new EOFException("the channel ended without an answer");
        if (!message.start.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("bytes that are no answer: " + message.start);
        }
        int status = message.status();
        if (!method.equals("HEAD") && status >= 200 && status != 204 && status != 304) readBody(in, message);
        return message;
    }

    private static void readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the connection ended within the body");
                int length = Integer.parseInt(size.trim(), 16);
                out.write(exactly(in, length));
                line(in);
                if (length == 0) break;
            }
            message.body = out.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended within the body");
        return bytes;
    }

    static byte[] bytes(String text) { return text.getBytes(StandardCharsets.UTF_8); }

    /** Writes a message in one go; [headers] are whole lines without line ends. */
    static void write(OutputStream out, String start, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(bytes(head.toString()));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    interface Handler { void handle(Socket socket, InputStream in, OutputStream out) throws Exception; }

    /** Serves each connection of [listener] with [handler] in a thread of its own. */
    static void serve(ServerSocket listener, Handler handler) {
        thread("accept", () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread("connection", () -> {
                    try (socket) {
                        handler.handle(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
    }

    interface Work { void run() throws Exception; }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception end) {
                // The end of a connection, or of the whole run.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
