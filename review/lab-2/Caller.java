/* A consumer's kept channel: sends one request after the other and reads the answers. */
import java.io.*;
import java.net.*;
import java.util.*;

final class Caller implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final Record record;
    private final String name;

    Caller(String name, int port, Record record) throws IOException { this(name, port, record, 0); }

    /** A channel with a window of about [receiveBytes], or of the usual size if that is 0. */
    Caller(String name, int port, Record record, int receiveBytes) throws IOException {
        this.name = name;
        this.record = record;
        socket = new Socket();
        if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Http.Message ask(String method, String path, String id, int deadlineMs, byte[] body) throws IOException {
        send(method, path, id, deadlineMs, body);
        try {
            Http.Message answer = Http.response(in, method);
            record.add(name + " gets for " + id + ": " + answer.start + " " + answer.headers + " " + answer.text().trim());
            return answer;
        } catch (IOException failure) {
            record.add(name + " gets for " + id + ": " + failure);
            throw failure;
        }
    }

    /** Sends a request, whose answer is read from [socket]. */
    void send(String method, String path, String id, int deadlineMs, byte[] body) throws IOException {
        socket.setSoTimeout(deadlineMs + 2000);
        List<String> headers = new ArrayList<>(List.of("Host: " + Config.HOST, "Request-Id: " + id,
            "Deadline-Ms: " + deadlineMs, "X-Api-Key: " + Config.KEY));
        if (body.length > 0 || method.equals("POST")) headers.add("Content-Length: " + body.length);
        record.add(name + " sends " + method + " " + path + " " + id);
        Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
    }

    Socket socket() { return socket; }

    @Override public void close() throws IOException { socket.close(); }
}
