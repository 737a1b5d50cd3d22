import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A network path to a port of this machine, which can be cut: it then holds all bytes, or resets connections. */
final class Link {
    enum Mode { PASS, HOLD, RESET }

    final int port;
    private final int target;
    private volatile Mode mode = Mode.PASS;
    /** Holds what the target sends back, as a lost packet does until it is sent again. */
    private volatile boolean holdsBack;
    /** When bytes last passed to the target and back, by {@link System#nanoTime}. */
    volatile long lastForward;
    volatile long lastBack;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Link(int port, int target) throws IOException {
        this.port = port;
        this.target = target;
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        Http.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Http.daemon(() -> connection(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    void set(Mode next) {
        mode = next;
        if (next == Mode.RESET) sockets.forEach(Link::reset);
        synchronized (this) {
            notifyAll();
        }
    }

    synchronized void holdBack(boolean value) {
        holdsBack = value;
        notifyAll();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private synchronized void awaitPass(boolean back) throws InterruptedException {
        while (mode == Mode.HOLD || (back && holdsBack)) wait(200);
    }

    private void connection(Socket client) {
        sockets.add(client);
        Socket server = new Socket();
        sockets.add(server);
        try {
            if (mode == Mode.RESET) throw new IOException("reset");
            awaitPass(false);
            server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 2000);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Thread back = Http.daemon(() -> copy(server, client, true));
            copy(client, server, false);
            back.join();
        } catch (IOException | InterruptedException e) {
            reset(client);
        } finally {
            sockets.remove(client);
            sockets.remove(server);
            try {
                client.close();
                server.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    private void copy(Socket from, Socket to, boolean back) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!back) lastForward = System.nanoTime();
                awaitPass(back);
                if (back) lastBack = System.nanoTime();
                out.write(buffer, 0, n);
                out.flush();
            }
            awaitPass(back);
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            try {
                from.close();
                to.close();
            } catch (IOException closed) {
                // Closed already.
            }
        }
    }
}
