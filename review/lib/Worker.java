import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker as PROTOCOL describes it. */
final class Worker {
    private static final class Task {
        String id;
        String job;
        long attempt;
        String standing = "fetching";
        String cause;
        boolean stored;
        double nextAt;
    }

    private final Run run;
    private final Fleet fleet;
    private final String id;
    private final String zone;
    private final boolean spot;
    private final int port;
    private final HttpServer server;
    private final Random random = new Random();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Double> fetches = new LinkedHashMap<>();
    private long session = 1;
    private long number;
    private long token;
    private double leaseFrom;
    private boolean changed;
    private volatile boolean ended;
    private int node;
    /** The largest report so far, in bytes. */
    static volatile int largestReport;

    Worker(Run run, Fleet fleet, String id, String zone, boolean spot) throws IOException {
        this.run = run;
        this.fleet = fleet;
        this.id = id;
        this.zone = zone;
        this.spot = spot;
        leaseFrom = run.now();
        node = random.nextInt(run.controllers.size());
        port = Run.freePort();
        server = run.serve(port, this::command);
        run.threads.submit(this::report);
        run.threads.submit(this::tick);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    void end(String why) {
        ended = true;
        server.stop(0);
        synchronized (this) {
            for (Task task : tasks.values()) {
                if (task.standing.equals("ended")) continue;
                fleet.present.merge(task.job, -1, Integer::sum);
                leaveGang(task);
                run.note("task", task.id + " gone with " + id + ": " + why);
            }
            tasks.clear();
        }
    }

    /** Whether a task with these amounts has room beside those that are here. */
    synchronized boolean hasRoom(double cores, double accelerators, double memGb) {
        if (ended) return false;
        for (Task task : tasks.values()) {
            if (task.standing.equals("ended")) continue;
            Map<String, Object> job = fleet.descriptions.get(task.job);
            cores += amount(job, "cores");
            accelerators += amount(job, "accelerators");
            memGb += amount(job, "memGb");
        }
        return cores <= fleet.cores && accelerators <= fleet.accelerators && memGb <= fleet.memGb;
    }

    private void tick() {
        while (!ended) {
            Run.sleep(0.02);
            synchronized (this) {
                advance();
            }
        }
    }

    private void advance() {
        double now = run.now();
        while (now > leaseFrom + fleet.leaseS) {
            int lost = 0;
            for (Task task : tasks.values()) {
                if (task.standing.equals("ended")) continue;
                lost++;
                fleet.present.merge(task.job, -1, Integer::sum);
                leaveGang(task);
                fleet.losses.merge(task.job, 1, Integer::sum);
            }
            if (lost > 0) run.note("lease", id + ": lease over, " + lost + " tasks killed");
            tasks.clear();
            fetches.clear();
            session++;
            number = 0;
            leaseFrom += fleet.leaseS;
            changed = true;
        }
        for (Map.Entry<String, Double> fetch : new ArrayList<>(fetches.entrySet())) {
            if (now < fetch.getValue()) continue;
            images.add(fetch.getKey());
            fetches.remove(fetch.getKey());
        }
        for (Task task : tasks.values()) {
            Map<String, Object> job = fleet.descriptions.get(task.job);
            boolean gang = job.get("lotKind").equals("gang");
            if (task.standing.equals("fetching") && images.contains(job.get("catchImage"))) {
                if (gang) {
                    task.standing = "waiting";
                    task.nextAt = now + fleet.gangWaitS;
                    changed = true;
                    fleet.gang(task.job, task.attempt).waits(((Number) job.get("crates")).intValue(), now);
                } else {
                    begin(task, job.get("lotKind").equals("daemon") ? Double.MAX_VALUE : now + fleet.runS.get(task.job));
                }
            } else if (task.standing.equals("waiting")) {
                Fleet.Gang attempt = fleet.gang(task.job, task.attempt);
                if (attempt.started()) {
                    begin(task, attempt.startedAt() + fleet.runS.get(task.job));
                } else if (now >= task.nextAt) {
                    end(task, "incomplete");
                }
            } else if (gang && task.standing.equals("running")
                    && now >= fleet.gang(task.job, task.attempt).brokenAt() + fleet.gangPeerS) {
                end(task, "peers");
            } else if (task.standing.equals("running") && now >= task.nextAt) {
                end(task, "done");
                fleet.completions.merge(task.job, 1, Integer::sum);
            } else if (task.standing.equals("saving") && now >= task.nextAt) {
                task.stored = true;
                end(task, "stopped");
            }
        }
    }

    private void begin(Task task, double until) {
        task.standing = "running";
        task.nextAt = until;
        fleet.starts.merge(task.job, 1, Integer::sum);
        if (fleet.starts.get(task.job) <= 20) run.note("task", task.id + " runs on " + id);
        changed = true;
    }

    /** Tells the other tasks of a gang that this one leaves without being done. */
    private void leaveGang(Task task) {
        Map<String, Object> job = fleet.descriptions.get(task.job);
        if (job == null || !job.get("lotKind").equals("gang")) return;
        Fleet.Gang gang = fleet.gang(task.job, task.attempt);
        if (task.standing.equals("waiting") && !gang.started()) gang.waitsNoMore();
        if (task.standing.equals("running") || task.standing.equals("saving")) gang.lostMember(run.now());
    }

    private void end(Task task, String cause) {
        if (!cause.equals("done")) leaveGang(task);
        fleet.present.merge(task.job, -1, Integer::sum);
        task.standing = "ended";
        task.cause = cause;
        changed = true;
        if (fleet.starts.getOrDefault(task.job, 0) <= 20) run.note("task", task.id + " ends on " + id + ": " + cause);
    }

    private static double amount(Map<String, Object> job, String name) {
        return ((Number) job.get(name)).doubleValue();
    }

    private synchronized String encode() {
        List<Object> crates = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> crate = Json.of("crate", task.id, "cast", task.attempt, "standing", task.standing);
            if (task.cause != null) crate.put("cause", task.cause);
            if (task.stored) crate.put("stored", true);
            crates.add(crate);
        }
        return Json.text(Json.of("stall", id, "addr", address(), "rig", fleet.type, "hall", zone, "borrowedRigs", spot,
                "shift", session, "tallyNo", ++number, "gavel", token, "crates", crates));
    }

    private void report() {
        while (!ended) {
            double sent;
            long sentIn;
            String body;
            synchronized (this) {
                advance();
                sent = run.now();
                sentIn = session;
                changed = false;
                body = encode();
            }
            if (body.length() > largestReport) largestReport = body.length();
            Run.Controller to = run.controllers.get(node);
            Run.Answer answer = Run.call("POST", to.url("/checkin"), body, 4);
            if (ended) return;
            boolean stays = false;
            if (answer.status == 200) {
                synchronized (this) {
                    advance();
                    if (session == sentIn && run.now() - sent < 4) apply(Json.object(answer.body), sent);
                }
                stays = true;
            } else if (answer.status == 421) {
                Object named = Json.object(answer.body).get("auctioneer");
                for (int i = 0; i < run.controllers.size(); i++) {
                    if (i != node && run.controllers.get(i).name.equals(named)) {
                        node = i;
                        stays = true;
                    }
                }
                if (stays) {
                    Run.sleep(random.nextDouble() * 0.5);
                    continue;
                }
            } else if (answer.status != 503) {
                run.note("report", id + " to " + to.name + ", " + body.length() + " bytes: " + answer);
            }
            if (!stays) {
                Run.sleep(1);
                node = (node + 1) % run.controllers.size();
                continue;
            }
            double due = sent + fleet.reportS * (0.75 + random.nextDouble() * 0.5);
            while (!ended && run.now() < due && !(changed && run.now() >= sent + 0.5)) Run.sleep(0.02);
        }
    }

    @SuppressWarnings("unchecked")
    private void apply(Map<String, Object> answer, double sent) {
        Object given = answer.get("gavel");
        if (given == null || (Long) given < token) return;
        if ((Long) given > token) {
            token = (Long) given;
            changed = true;
        }
        leaseFrom = Math.max(leaseFrom, sent);
        for (Map<String, Object> call : (List<Map<String, Object>>) answer.get("calls")) execute(call);
    }

    private Run.Answer command(HttpExchange exchange, String body) {
        if (exchange.getRequestURI().getPath().equals("/inspect")) {
            synchronized (this) {
                advance();
                return new Run.Answer(200, encode());
            }
        }
        Map<String, Object> request = Json.object(body);
        if (request.get("gavel") == null || request.get("shift") == null) return new Run.Answer(400, "{}");
        synchronized (this) {
            advance();
            if ((Long) request.get("gavel") < token || (Long) request.get("shift") != session) {
                return new Run.Answer(409, encode());
            }
            if ((Long) request.get("gavel") > token) {
                token = (Long) request.get("gavel");
                changed = true;
            }
            @SuppressWarnings("unchecked")
            List<Map<String, Object>> calls = (List<Map<String, Object>>) request.get("calls");
            for (Map<String, Object> call : calls) execute(call);
            return new Run.Answer(200, encode());
        }
    }

    private void execute(Map<String, Object> call) {
        String task = (String) call.get("crate");
        long attempt = (Long) call.get("cast");
        Task known = tasks.get(task);
        switch ((String) call.get("call")) {
            case "start":
                if (known != null && known.attempt == attempt) return;
                start(task, attempt, known);
                return;
            case "kill":
                if (known == null || known.attempt != attempt || known.standing.equals("ended")) return;
                kill(known, ((Number) call.get("windDownS")).doubleValue());
                return;
            case "reap":
                if (known != null && known.attempt == attempt && known.standing.equals("ended")) tasks.remove(task);
                return;
            default:
                run.note("worker", id + " was sent an unknown command: " + call);
        }
    }

    private void kill(Task task, double grace) {
        Map<String, Object> job = fleet.descriptions.get(task.job);
        boolean saves = task.standing.equals("running") && amount(job, "tallyS") > 0 && grace >= amount(job, "stowS");
        if (task.standing.equals("saving") && grace > 0) return;
        if (saves) {
            task.standing = "saving";
            task.nextAt = run.now() + amount(job, "stowS");
            changed = true;
        } else {
            end(task, "stopped");
        }
    }

    private void start(String id, long attempt, Task known) {
        // A task that is here with another attempt stays, and its report too; the refusal is not kept beside it.
        if (known != null && !known.standing.equals("ended")) return;
        Task task = new Task();
        task.id = id;
        task.job = id.substring(0, id.lastIndexOf('/'));
        task.attempt = attempt;
        changed = true;
        Map<String, Object> job = fleet.descriptions.get(task.job);
        if (job == null) {
            task.standing = "ended";
            task.cause = "unknown";
            tasks.put(id, task);
            return;
        }
        double cores = amount(job, "cores");
        double accelerators = amount(job, "accelerators");
        double memory = amount(job, "memGb");
        for (Task other : tasks.values()) {
            if (other.standing.equals("ended")) continue;
            Map<String, Object> beside = fleet.descriptions.get(other.job);
            cores += amount(beside, "cores");
            accelerators += amount(beside, "accelerators");
            memory += amount(beside, "memGb");
        }
        tasks.put(id, task);
        double slack = 1e-6;
        if (cores > fleet.cores + slack || accelerators > fleet.accelerators + slack || memory > fleet.memGb + slack) {
            task.standing = "ended";
            task.cause = "no_room";
            return;
        }
        fleet.present.merge(task.job, 1, Integer::sum);
        String image = (String) job.get("catchImage");
        if (!images.contains(image)) {
            fetches.putIfAbsent(image, run.now() + amount(job, "pullGb") / fleet.pullGbPerS);
        }
    }
}
