import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** One run of a case: its clock, its record, HTTP helpers, free ports and the controllers as separate processes. */
final class Run {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path temporary;
    final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    final List<Controller> controllers = new ArrayList<>();

    /** [folder]: the folder of the case, to which record.txt is written. */
    Run(String folder) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("http.maxConnections", "64");
        // A POST that got no answer is never sent again by the HTTP library behind our back.
        System.setProperty("sun.net.http.retryPost", "false");
        this.folder = Path.of(folder);
        temporary = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("run", "trouble=" + trouble);
        Thread limit = new Thread(() -> {
            sleep(117);
            note("end", "time limit of the script");
            finish(COULD_NOT_RUN, "time limit");
        });
        limit.setDaemon(true);
        limit.start();
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String what, String text) {
        record.printf("%9.3f %-10s %s%n", now(), what, text);
    }

    static void sleep(double seconds) {
        if (seconds <= 0) return;
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    // ---- HTTP

    static final class Answer {
        /** 0: no answer. */
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + " " + body;
        }
    }

    static Answer call(String method, String url, String body, double timeout) {
        HttpURLConnection connection = null;
        try {
            connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout((int) (Math.min(timeout, 0.5) * 1000));
            connection.setReadTimeout((int) (timeout * 1000));
            connection.setInstanceFollowRedirects(false);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                connection.setFixedLengthStreamingMode(bytes.length);
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(bytes);
                }
            }
            int status = connection.getResponseCode();
            java.io.InputStream stream = status < 400 ? connection.getInputStream() : connection.getErrorStream();
            String text = stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            if (stream != null) stream.close();
            return new Answer(status, text);
        } catch (IOException | RuntimeException e) {
            if (connection != null) connection.disconnect();
            return new Answer(0, e.getClass().getSimpleName());
        }
    }

    interface Route {
        Answer answer(HttpExchange exchange, String body) throws Exception;
    }

    HttpServer serve(int port, Route route) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try (exchange) {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer;
                try {
                    answer = route.answer(exchange, body);
                } catch (Exception e) {
                    answer = new Answer(400, Json.text(Json.of("error", String.valueOf(e))));
                }
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) exchange.getResponseBody().write(bytes);
            } catch (IOException e) {
                // The caller has gone.
            }
        });
        server.start();
        return server;
    }

    static Answer ok(Object body) {
        return new Answer(200, Json.text(body));
    }

    // ---- controllers

    /** One controller: a process of the deploy file's run line. It is started again [backAfter] seconds after its end. */
    final class Controller {
        final String name;
        final String zone;
        final int clientPort;
        final int peerPort;
        Path settings;
        volatile Process process;
        volatile boolean wanted;
        volatile int endsByItself;

        Controller(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            clientPort = freePort();
            peerPort = freePort();
        }

        String url(String path) {
            return "http://127.0.0.1:" + clientPort + path;
        }

        synchronized void start() throws IOException {
            String deploy = Files.readString(Path.of("deploy/service.toml"));
            java.util.regex.Matcher line = java.util.regex.Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!line.find()) throw new IOException("no run line in the deploy file");
            List<String> command = new ArrayList<>(List.of(line.group(1).split(" +")));
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", "info");
            Path log = temporary.resolve(name + ".log");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            wanted = true;
            process = builder.start();
            note("controller", name + " started");
        }

        /** Watches the process: an end that this run did not cause is recorded, and the process is started again. */
        void supervise(double backAfter) {
            threads.submit(() -> {
                while (wanted) {
                    Process current = process;
                    int code = current.waitFor();
                    if (!wanted || current != process) continue;
                    endsByItself++;
                    note("controller", name + " ended by itself, exit code " + code + ", last lines: " + lastLines(3));
                    sleep(backAfter);
                    if (wanted) start();
                }
                return null;
            });
        }

        String lastLines(int count) {
            try {
                List<String> lines = Files.readAllLines(temporary.resolve(name + ".log"));
                return String.join(" | ", lines.subList(Math.max(0, lines.size() - count), lines.size()));
            } catch (IOException e) {
                return e.toString();
            }
        }

        void kill() {
            wanted = false;
            if (process != null) process.destroyForcibly();
        }
    }

    /** Writes the settings of all controllers; [settings]: the section of that name, the same for all. */
    void createControllers(String[] names, String[] zones, int statePort, int cloudPort, Map<String, Object> settings)
            throws IOException {
        for (int i = 0; i < names.length; i++) controllers.add(new Controller(names[i], zones[i]));
        for (Controller controller : controllers) {
            List<Object> known = new ArrayList<>();
            for (Controller other : controllers) {
                if (other == controller) continue;
                known.add(Json.of("node_name", other.name, "zone", other.zone, "address", "127.0.0.1:" + other.peerPort));
            }
            Map<String, Object> all = Json.of("node_name", controller.name, "zone", controller.zone,
                    "client_listen", "127.0.0.1:" + controller.clientPort,
                    "cluster_listen", "127.0.0.1:" + controller.peerPort, "known", known,
                    "external", Json.of("cloud", "127.0.0.1:" + cloudPort, "state", "127.0.0.1:" + statePort),
                    "settings", settings);
            controller.settings = temporary.resolve(controller.name + ".json");
            Files.writeString(controller.settings, Json.text(all));
        }
    }

    void endProcesses() {
        for (Controller controller : controllers) controller.kill();
        for (Controller controller : controllers) {
            try {
                if (controller.process != null) controller.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (java.util.stream.Stream<Path> files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException e) {
            // The folder is temporary.
        }
    }

    /** Waits until every controller answers GET /ready with 200. */
    void awaitReady(double limit) {
        double until = now() + limit;
        for (Controller controller : controllers) {
            while (call("GET", controller.url("/ready"), null, 1).status != 200) {
                if (now() > until) finish(COULD_NOT_RUN, controller.name + " is not ready: " + controller.lastLines(3));
                sleep(0.2);
            }
        }
        note("ready", "all controllers answer /ready");
    }

    void finish(int code, String text) {
        String verdict = code == BROKEN ? "RULE BROKEN" : code == HELD ? "RULE HELD" : "COULD NOT RUN";
        for (Controller controller : controllers) {
            note("log", controller.name + ": " + controller.lastLines(4));
        }
        note("verdict", verdict + ": " + text);
        System.out.println(verdict + ": " + text);
        System.exit(code);
    }
}
