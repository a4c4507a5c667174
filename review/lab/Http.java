import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 as far as the stand-ins need it. */
final class Http {
    private Http() {
    }

    /** A request or an answer; {@code start} is its first line, header names are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String target() {
            return start.split(" ")[1];
        }

        String method() {
            return start.split(" ")[0];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    interface Handler {
        /** Answers {@code request} on {@code socket}; returns whether the connection stays open. */
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** Serves connections at a free port of {@code ip}, each on a thread of its own. */
    static ServerSocket serve(String ip, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        thread(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                thread(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                        Message request = read(in, false);
                        while (request != null && handler.handle(request, socket, socket.getOutputStream())) {
                            request = read(in, false);
                        }
                    }
                });
            }
        });
        return listener;
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs {@code action} on a daemon thread; input and output errors end it. */
    static Thread thread(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException | InterruptedException closed) {
                // The other side closed the connection, or the case has ended.
            } catch (Exception fault) {
                fault.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads one message; null if the connection ends before it. A body without length ends with the connection. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        String length = headers.get("content-length");
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            java.io.ByteArrayOutputStream chunks = new java.io.ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                chunks.write(exactly(in, size));
                line(in);
            }
            line(in);
            body = chunks.toByteArray();
        } else if (length != null) {
            body = exactly(in, Integer.parseInt(length));
        } else if (isAnswer) {
            body = in.readAllBytes();
        }
        return new Message(start, headers, body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("ended between chunks");
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("ended inside a body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (out.length() == 0) return null;
                throw new EOFException("ended inside a line");
            }
            if (c != '\r') out.append((char) c);
        }
        return out.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        byte[] head = bytes("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
