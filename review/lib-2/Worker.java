import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker of PROTOCOL: one machine, its reports, its lease and its tasks. Gangs are not supported. */
final class Worker {
    /** What happens on machines, for the record and the checks. */
    interface Log {
        void started(String task, long cast, String machine);

        void ended(String task, long cast, String machine, String why);

        void note(String text);

        /** A controller has answered a report with 200. */
        default void answered(String machine, String node, String report, String answer) {}
    }

    /** The description of a job, which its user has uploaded; null if there is none. */
    interface Uploads {
        Map<String, Object> job(String id);
    }

    private static final class Task {
        String id;
        long cast;
        String standing = "fetching";
        String cause;
        long fetched;
        long done = Long.MAX_VALUE;
        double cores;
        double gpus;
        double memGb;

        boolean live() {
            return !standing.equals("ended");
        }

        boolean present() {
            return live() && !standing.equals("fetching");
        }
    }

    final String id;
    final String address;
    private final Cloud cloud;
    private final Cloud.Machine machine;
    private final Map<String, String> nodes;
    private final double reportS;
    private final double leaseS;
    private final Log log;
    private final Uploads uploads;
    private final ServerSocket server;
    private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long gavel;
    private long leaseFrom = now();
    private boolean changed;
    private boolean over;
    private String node;
    /** Answers and direct commands to this machine are lost, while its reports arrive. */
    volatile boolean deaf;
    /** The controllers that a cut separates from the machine: reports to them hang. */
    final java.util.Set<String> cutFrom = java.util.concurrent.ConcurrentHashMap.newKeySet();
    /** A cut separates the machine from whoever sends direct requests: these hang. */
    volatile boolean directCut;
    /** When the last report was answered with 200, in milliseconds of the steady clock. */
    volatile long answeredAt;
    /** The highest token that the worker has seen. */
    volatile long token;
    /** Its reports reach no controller, while direct commands reach it. */
    volatile boolean mute;
    /** The machine stands still. */
    volatile boolean hangs;
    /** Direct requests are held up this long before they are carried out, unanswered; 0 for none. */
    volatile long lateCommandsMs;
    /** Every task that starts here fails. */
    volatile boolean fails;
    /** How long an image takes to fetch. */
    volatile long fetchMs = 300;
    /** The last report that was sent. */
    volatile String lastReport;

    Worker(Cloud cloud, Cloud.Machine machine, int port, Map<String, String> nodes, double reportS, double leaseS,
        Log log, Uploads uploads) throws Exception {
        this.cloud = cloud;
        this.machine = machine;
        this.id = machine.id;
        this.address = "127.0.0.1:" + port;
        this.nodes = nodes;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.log = log;
        this.uploads = uploads;
        List<String> names = new ArrayList<>(nodes.keySet());
        node = names.get(Math.floorMod(id.hashCode(), names.size()));
        server = Http.serve(port, this::direct);
        Http.daemon(this::reports);
        Http.daemon(this::clockwork);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000L;
    }

    synchronized void end(String why) {
        over = true;
        for (Task task : tasks.values()) if (task.present()) log.ended(task.id, task.cast, id, why);
        tasks.clear();
        try {
            server.close();
        } catch (java.io.IOException e) {
            // Closed already.
        }
        notifyAll();
    }

    /** The tasks on the machine. */
    synchronized Map<String, Long> present() {
        Map<String, Long> present = new LinkedHashMap<>();
        for (Task task : tasks.values()) if (task.present()) present.put(task.id, task.cast);
        return present;
    }

    private void clockwork() {
        while (true) {
            synchronized (this) {
                if (over) return;
                lease();
                if (!hangs) advance();
            }
            sleep(20);
        }
    }

    private void lease() {
        while (now() > leaseFrom + (long) (leaseS * 1000)) {
            for (Task task : tasks.values()) if (task.present()) log.ended(task.id, task.cast, id, "lease over");
            if (!tasks.isEmpty()) log.note("lease over machine=" + id + " shift=" + shift);
            tasks.clear();
            shift++;
            leaseFrom += (long) (leaseS * 1000);
            changed = true;
            notifyAll();
        }
    }

    private void advance() {
        long now = now();
        for (Task task : tasks.values()) {
            if (task.standing.equals("fetching") && now >= task.fetched) {
                Map<String, Object> job = uploads.job(task.id.substring(0, task.id.lastIndexOf('/')));
                task.standing = "running";
                double haul = ((Number) job.get("haulS")).doubleValue();
                if (!"daemon".equals(job.get("lotKind"))) task.done = now + (long) (haul * 1000);
                log.started(task.id, task.cast, id);
                changed = true;
                notifyAll();
            }
            if (task.standing.equals("running") && fails) exit(task, "error");
            if (task.standing.equals("running") && now >= task.done) exit(task, "done");
        }
    }

    private void exit(Task task, String cause) {
        if (task.present()) log.ended(task.id, task.cast, id, cause);
        task.standing = "ended";
        task.cause = cause;
        changed = true;
        notifyAll();
    }

    private String report() {
        List<Object> crates = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> crate =
                Json.map("crate", task.id, "cast", task.cast, "standing", task.standing);
            if (task.cause != null) crate.put("cause", task.cause);
            crates.add(crate);
        }
        return Json.text(Json.map("stall", id, "addr", address, "rig", cloud.type, "hall", machine.zone,
            "borrowedRigs", machine.spot, "shift", shift, "tallyNo", ++tally, "gavel", gavel, "recallS", null,
            "crates", crates));
    }

    private void reports() {
        while (!over) {
            if (hangs) {
                sleep(50);
                continue;
            }
            long sent = now();
            long inShift;
            String body;
            synchronized (this) {
                if (over) return;
                inShift = shift;
                changed = false;
                body = report();
                lastReport = body;
            }
            Http.Response response = null;
            if (mute || cutFrom.contains(node)) sleep(4000);
            else response = Http.call(nodes.get(node), "POST", "/checkin", body, 4000);
            if (deaf || cutFrom.contains(node)) {
                sleep(Math.max(0, sent + 4000 - now()));
                response = null;
            }
            while (hangs && !over) sleep(20);
            if (now() - sent > 4000) response = null;
            if (response != null && response.status == 200) {
                synchronized (this) {
                    if (over) return;
                    lease();
                    if (shift == inShift) answer(Json.object(response.body), sent);
                }
                log.answered(id, node, body, response.body);
                await(sent);
            } else if (response == null || response.status != 421 || !redirect(response)) {
                sleep(1000);
                List<String> names = new ArrayList<>(nodes.keySet());
                node = names.get((names.indexOf(node) + 1) % names.size());
            }
        }
    }

    private boolean redirect(Http.Response response) {
        Object named = Json.object(response.body).get("auctioneer");
        if (named == null || named.equals(node) || !nodes.containsKey(named)) return false;
        node = (String) named;
        return true;
    }

    private synchronized void await(long sent) {
        long due = sent + (long) (reportS * 1000 * (0.75 + Math.random() * 0.5));
        while (!over && now() < due) {
            if (changed && now() >= sent + 500) return;
            try {
                wait(Math.max(1, Math.min(due - now(), 50)));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void answer(Map<String, Object> body, long sent) {
        if (body.get("gavel") == null || Json.number(body.get("gavel")) < gavel) return;
        if (Json.number(body.get("gavel")) > gavel) {
            gavel = Json.number(body.get("gavel"));
            token = gavel;
            changed = true;
        }
        leaseFrom = Math.max(leaseFrom, sent);
        answeredAt = now();
        for (Map<String, Object> call : Json.objects(body.get("calls"))) execute(call);
    }

    private Http.Response direct(Http.Request request) throws Exception {
        if (deaf || directCut) {
            Thread.sleep(20_000);
            return null;
        }
        long late = request.path.equals("/do") ? lateCommandsMs : 0;
        if (late > 0) Thread.sleep(late);
        while (hangs && !over) Thread.sleep(20);
        synchronized (this) {
            if (over) {
                return null;
            }
            lease();
            if (request.path.equals("/inspect")) return new Http.Response(200, report());
            Map<String, Object> body = Json.object(request.body);
            if (body.get("gavel") == null || body.get("shift") == null) {
                return new Http.Response(400, Json.map("error", "gavel or shift is missing"));
            }
            if (Json.number(body.get("gavel")) < gavel || Json.number(body.get("shift")) != shift) {
                return new Http.Response(409, report());
            }
            if (Json.number(body.get("gavel")) > gavel) {
                gavel = Json.number(body.get("gavel"));
                token = gavel;
                changed = true;
            }
            for (Map<String, Object> call : Json.objects(body.get("calls"))) execute(call);
            notifyAll();
            return late > 0 ? null : new Http.Response(200, report());
        }
    }

    private void execute(Map<String, Object> call) {
        String crate = (String) call.get("crate");
        long cast = Json.number(call.get("cast"));
        Task known = tasks.get(crate);
        boolean same = known != null && known.cast == cast;
        if (call.get("call").equals("start")) {
            if (same) return;
            Task task = new Task();
            task.id = crate;
            task.cast = cast;
            task.fetched = now() + fetchMs;
            Map<String, Object> job = uploads.job(crate.substring(0, crate.lastIndexOf('/')));
            if (known != null && known.live()) {
                log.note("start refused busy task=" + crate + " machine=" + id);
                return;
            }
            if (job == null) task.cause = "unknown";
            else if (!fits(task, job)) task.cause = "no_room";
            if (task.cause != null) task.standing = "ended";
            if (task.cause != null) log.note("start refused task=" + crate + " cause=" + task.cause + " machine=" + id);
            tasks.put(crate, task);
            changed = true;
        } else if (call.get("call").equals("kill")) {
            if (same && known.live()) exit(known, "stopped");
        } else if (same && !known.live()) {
            tasks.remove(crate);
        }
    }

    private boolean fits(Task task, Map<String, Object> job) {
        task.cores = ((Number) job.get("cores")).doubleValue();
        task.gpus = ((Number) job.get("accelerators")).doubleValue();
        task.memGb = ((Number) job.get("memGb")).doubleValue();
        double cores = task.cores;
        double gpus = task.gpus;
        double memGb = task.memGb;
        for (Task other : tasks.values()) {
            if (!other.live()) continue;
            cores += other.cores;
            gpus += other.gpus;
            memGb += other.memGb;
        }
        return cores <= cloud.cores + 1e-3 && gpus <= cloud.gpus + 1e-3 && memGb <= cloud.memGb + 1e-3;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
