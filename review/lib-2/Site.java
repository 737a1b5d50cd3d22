import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: three controllers, started with the command of the deploy file, and
 * stand-ins for the state service, the cloud, the workers and the users. The figures are those of
 * mekele-fish-exchange.
 */
final class Site implements Worker.Log {
    /** The test could not be run: exit code 2. */
    static final class NotRun extends RuntimeException {
        NotRun(String why) {
            super(why);
        }
    }

    static final class Controller {
        String name;
        int client;
        int cluster;
        StateService.Port state;
        Process process;
        File settings;
        File errors;
        final Map<String, Link> toPeers = new LinkedHashMap<>();

        String address() {
            return "127.0.0.1:" + client;
        }
    }

    List<String> zones = List.of("hawassa", "tana", "ziway");
    /** The zones of the controllers. */
    String[] homes = {"tana", "hawassa", "ziway"};
    String type = "netrack";
    double memGb = 384;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Controller> controllers = new ArrayList<>();
    final StateService state = new StateService();
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    /** The machines that each task is on, by task. */
    final Map<String, Map<String, Long>> present = new HashMap<>();
    /** Every breach that the stand-ins saw themselves. */
    final List<String> twice = new ArrayList<>();
    final Map<String, Integer> starts = new HashMap<>();
    Cloud cloud;
    private final Path folder;
    private final File root;
    private final PrintWriter record;
    private final java.util.Random random = new java.util.Random();
    private final java.util.Set<Integer> taken = ConcurrentHashMap.newKeySet();
    private final long began = System.nanoTime();

    double leaseS = 11.0;
    double reportS = 1.0;
    double cancelS = 41.0;
    double stateRps = 150.0;
    double writeRps = 25.0;
    int txnOps = 8;
    double cpu = 0.176;
    double memMb = 153.0;
    int sockets = 600;
    double gangWaitS = 45.0;
    double cloudRps = 6.0;
    double gangPeerS = 5.0;
    int perMarket = 6;
    double bootS = 2.0;
    List<Map<String, Object>> teams =
        List.of(Json.map("name", "floor-desk", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0));

    Site(String caseFolder) throws IOException {
        root = new File(System.getProperty("root", ".")).getAbsoluteFile();
        folder = Files.createTempDirectory("elderhitch-review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    double seconds() {
        return (System.nanoTime() - began) / 1e9;
    }

    @Override
    public void note(String text) {
        synchronized (record) {
            record.printf("%8.3f %s%n", seconds(), text);
        }
    }

    @Override
    public void started(String task, long cast, String machine) {
        synchronized (present) {
            Map<String, Long> on = present.computeIfAbsent(task, t -> new LinkedHashMap<>());
            if (!on.isEmpty()) {
                twice.add(task + " starts on " + machine + " while on " + on.keySet());
                note("RAN TWICE " + twice.get(twice.size() - 1));
            }
            on.put(machine, cast);
            starts.merge(task, 1, Integer::sum);
        }
        note("started task=" + task + " cast=" + cast + " machine=" + machine);
    }

    @Override
    public void ended(String task, long cast, String machine, String why) {
        synchronized (present) {
            Map<String, Long> on = present.get(task);
            if (on != null) on.remove(machine);
        }
        note("ended task=" + task + " cast=" + cast + " machine=" + machine + " why=" + why);
    }

    int presentOf(String job) {
        int count = 0;
        synchronized (present) {
            for (Map.Entry<String, Map<String, Long>> e : present.entrySet()) {
                if (e.getKey().startsWith(job + "/")) count += e.getValue().size();
            }
        }
        return count;
    }

    /** A free port. */
    int port() throws IOException {
        // Below the range from which the system takes the ports of outgoing connections.
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + random.nextInt(18_000);
            if (!taken.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        throw new NotRun("no free port");
    }

    /** Creates the services and the settings; starts no controller. */
    void prepare() throws IOException {
        if (!new File(root, "target/elderhitch.jar").isFile()) throw new NotRun("target/elderhitch.jar is missing");
        Map<String, String> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 3; i++) {
            Controller c = new Controller();
            c.name = "stallhand-" + i;
            c.client = port();
            c.cluster = port();
            c.state = state.open(port());
            nodes.put(c.name, c.address());
            controllers.add(c);
        }
        int cloudPort = port();
        cloud = new Cloud(type, 48, 8, memGb, zones, perMarket, 3.0,
            m -> new Worker(cloud, m, port(), nodes, reportS, leaseS, this, jobs::get));
        cloud.bootS = bootS;
        Http.serve(cloudPort, cloud::handle);
        for (int i = 0; i < 3; i++) {
            Controller c = controllers.get(i);
            List<Object> known = new ArrayList<>();
            for (int k = 0; k < 3; k++) {
                if (k == i) continue;
                Link link = new Link(port(), controllers.get(k).cluster);
                c.toPeers.put(controllers.get(k).name, link);
                known.add(Json.map("node_name", controllers.get(k).name, "zone", homes[k], "address",
                    "127.0.0.1:" + link.port));
            }
            Map<String, Object> settings = Json.map("node_name", c.name, "zone", homes[i], "client_listen",
                c.address(), "cluster_listen", "127.0.0.1:" + c.cluster, "known", known, "external",
                Json.map("cloud", "127.0.0.1:" + cloudPort, "state", "127.0.0.1:" + c.state.number), "settings",
                Json.map("count", 3, "zones", zones, "teams", teams, "objectives",
                    List.of(Json.map("kind", "wait", "class", "catch-scorer", "within_s", 20.0, "share", 0.92)),
                    "workers", Json.map("report_s", reportS, "lease_s", leaseS, "gang_wait_s", gangWaitS, "gang_peer_s",
                        gangPeerS, "cancel_s", cancelS), "state", Json.map("rps", stateRps, "write_rps", writeRps,
                        "value_kb", 8.0, "txn_ops", txnOps), "cloud", Json.map("rps", cloudRps, "list_lag_s", 3.0),
                    "machine_limits", Json.map("cpu", cpu, "mem_mb", memMb, "max_sockets", sockets), "clock_error_ms",
                    250.0));
            c.settings = folder.resolve(c.name + ".json").toFile();
            c.errors = folder.resolve(c.name + ".log").toFile();
            Files.writeString(c.settings.toPath(), Json.text(settings));
        }
    }

    void startAll() throws Exception {
        for (Controller c : controllers) start(c);
        for (Controller c : controllers) awaitReady(c, 30);
    }

    void start(Controller c) throws IOException {
        List<String> command = new ArrayList<>(runLine());
        command.add(c.settings.getPath());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root);
        String level = System.getenv("LOG_LEVEL");
        builder.environment().put("LOG_LEVEL", level == null ? "info" : level);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(c.errors));
        c.process = builder.start();
        note("started controller=" + c.name + " pid=" + c.process.pid());
    }

    private List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(new File(root, "deploy/service.toml").toPath())) {
            if (line.startsWith("run")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(text.split(" "));
            }
        }
        throw new NotRun("deploy/service.toml has no run line");
    }

    void awaitReady(Controller c, int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            Http.Response ready = Http.call(c.address(), "GET", "/ready", null, 1000);
            if (ready != null && ready.status == 200) return;
            Thread.sleep(100);
        }
        throw new NotRun(c.name + " is not ready");
    }

    void signal(Controller c, String name) throws Exception {
        note("signal " + name + " controller=" + c.name);
        new ProcessBuilder("kill", "-" + name, Long.toString(c.process.pid())).start().waitFor();
        if (name.equals("KILL")) c.process.waitFor(5, TimeUnit.SECONDS);
    }

    /** The controller that says that it leads; null if none does. */
    Controller leader() {
        for (Controller c : controllers) {
            Http.Response status = Http.call(c.address(), "GET", "/status", null, 1000);
            if (status != null && status.status == 200 && status.body.contains("\"leading\":true")) return c;
        }
        return null;
    }

    Controller awaitLeader(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 5; i++) {
            Controller leader = leader();
            if (leader != null) return leader;
            Thread.sleep(200);
        }
        throw new NotRun("no leader");
    }

    Http.Response call(Controller c, String method, String path, String body, int timeoutMs) {
        Http.Response response = Http.call(c.address(), method, path, body, timeoutMs);
        note(method + " " + path + " to=" + c.name + (body == null || body.isEmpty() ? "" : " body=" + body) + " -> "
            + (response == null ? "no response" : response.status + " " + response.body));
        return response;
    }

    Map<String, Object> job(String id, String kind, int tasks, double haulS) {
        return Json.map("id", id, "lotClass", kind.equals("daemon") ? "catch-scorer" : "lot-photo-sort", "desk",
            "floor-desk", "lotKind", kind, "urgency", kind.equals("daemon") ? "production" : "idle", "crates", tasks,
            "cores", 4.0, "accelerators", 1.0, "memGb", 29.0, "catchImage", "img-01", "pullGb", 0.5, "rigs", null,
            "hall", null, "samePlace", false, "spread", false, "borrowedRigs", !kind.equals("daemon"), "haulS",
            kind.equals("daemon") ? 0.0 : haulS, "tallyS", 0.0, "stowS", 0.0, "closingS", null);
    }

    /** Submits until it is accepted, as a user does: 60 s at most. */
    Http.Response submit(Controller first, Map<String, Object> job) throws InterruptedException {
        jobs.put((String) job.get("id"), job);
        int at = controllers.indexOf(first);
        for (int i = 0; i < 60; i++) {
            Http.Response r = call(controllers.get((at + i) % 3), "POST", "/work", Json.text(job), 5000);
            if (r != null && (r.status == 200 || r.status == 201 || r.status == 400 || r.status == 422)) return r;
            Thread.sleep(1000);
        }
        return null;
    }

    Map<String, Object> poll(Controller c, String id) {
        Http.Response r = call(c, "GET", "/work/" + id, null, 2000);
        return r == null || r.status != 200 ? null : Json.object(r.body);
    }

    /** Waits until the task has started for the first time. */
    void awaitPresentOnce(String task, int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 20; i++) {
            synchronized (present) {
                if (starts.containsKey(task)) return;
            }
            Thread.sleep(50);
        }
        throw new NotRun(task + " was not started");
    }

    /** Waits until as many tasks of the job are on machines. */
    void awaitPresent(String job, int tasks, int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 20; i++) {
            if (presentOf(job) >= tasks) return;
            Thread.sleep(50);
        }
        throw new NotRun(job + " is not running");
    }

    void close() {
        for (Controller c : controllers) if (c.process != null) c.process.destroyForcibly();
        for (Controller c : controllers) {
            try {
                if (c.process != null) c.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        try {
            if (keep != null) for (Controller c : controllers) if (c.errors != null && c.errors.exists()) {
                Files.copy(c.errors.toPath(), Path.of(keep, c.errors.getName()),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
            if (Files.exists(folder)) {
                try (var paths = Files.walk(folder)) {
                    paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
                }
            }
        } catch (IOException e) {
            note("temporary files left: " + e.getMessage());
        }
    }

    /** Runs a case and ends the process with its exit code. */
    interface Case {
        /** What broke the rule; null if it held. */
        String run(Site site) throws Exception;
    }

    static void main(String caseFolder, Case test) {
        int code;
        Http.daemon(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case could not run: it takes too long");
            System.exit(2);
        });
        try {
            Site site = new Site(caseFolder);
            String broken;
            try {
                broken = test.run(site);
                code = broken == null ? 0 : 1;
                site.note(broken == null ? "RULE HELD" : "RULE BROKEN: " + broken);
                System.out.println(broken == null ? "the rule held" : "the rule was broken: " + broken);
            } catch (NotRun e) {
                site.note("NOT RUN: " + e.getMessage());
                System.out.println("the case could not run: " + e.getMessage());
                code = 2;
            }
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
