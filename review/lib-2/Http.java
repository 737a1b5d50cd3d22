import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** HTTP/1.1 over blocking sockets, on loopback addresses only. */
final class Http {
    static final class Request {
        String method;
        String path;
        Map<String, String> query = new HashMap<>();
        String body = "";
    }

    static final class Response {
        final int status;
        final String body;

        Response(int status, String body) {
            this.status = status;
            this.body = body;
        }

        Response(int status, Map<String, Object> body) {
            this(status, Json.text(body));
        }
    }

    interface Handler {
        /** The response; null closes the connection without one. */
        Response handle(Request request) throws Exception;
    }

    private Http() {}

    static ServerSocket serve(int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> connection(socket, handler));
                } catch (IOException e) {
                    if (server.isClosed()) return;
                }
            }
        });
        return server;
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String start = line(in);
                if (start == null) return;
                Map<String, String> headers = headers(in);
                Request request = new Request();
                String[] parts = start.split(" ");
                request.method = parts[0];
                int question = parts[1].indexOf('?');
                request.path = question < 0 ? parts[1] : parts[1].substring(0, question);
                if (question >= 0) {
                    for (String pair : parts[1].substring(question + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        request.query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
                request.body = body(in, headers);
                Response response;
                try {
                    response = handler.handle(request);
                } catch (IOException e) {
                    return;
                }
                if (response == null) return;
                boolean close = "close".equalsIgnoreCase(headers.get("connection"));
                byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + response.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + (close ? "\r\nConnection: close" : "") + "\r\n\r\n";
                byte[] all = new byte[head.length() + bytes.length];
                System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
                System.arraycopy(bytes, 0, all, head.length(), bytes.length);
                socket.getOutputStream().write(all);
                socket.getOutputStream().flush();
                if (close) return;
            }
        } catch (Exception e) {
            // The peer has closed the connection.
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return out.toString();
            if (b != '\r') out.append((char) b);
        }
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String body(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** One request on a connection of its own; null if there is no response in time. */
    static Response call(String address, String method, String target, String body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
            int left = (int) Math.max(1, (end - System.nanoTime()) / 1_000_000L);
            socket.setSoTimeout(left);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String start = line(in);
            if (start == null) return null;
            Map<String, String> headers = headers(in);
            return new Response(Integer.parseInt(start.split(" ")[1]), body(in, headers));
        } catch (IOException e) {
            return null;
        }
    }
}
