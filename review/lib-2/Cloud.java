import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL: rents machines of one type, each of which starts a worker when it is up. */
final class Cloud {
    static final class Machine {
        String id;
        String zone;
        boolean spot;
        String state = "booting";
        long rentedAt;
        long goneAt;
        Worker worker;
    }

    interface Boot {
        Worker worker(Machine machine) throws Exception;
    }

    final String type;
    final double cores;
    final double gpus;
    final double memGb;
    final List<String> zones;
    final int perMarket;
    final double lagS;
    volatile double bootS = 2;
    volatile boolean down;
    volatile long latencyMs = 150;
    /** The machines of each kind that a zone has, where it is not {@link #perMarket}. */
    final Map<String, Integer> inZone = new java.util.concurrent.ConcurrentHashMap<>();
    private final Boot boot;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> answered = new LinkedHashMap<>();
    private int next = 1;

    Cloud(String type, double cores, double gpus, double memGb, List<String> zones, int perMarket, double lagS,
        Boot boot) {
        this.type = type;
        this.cores = cores;
        this.gpus = gpus;
        this.memGb = memGb;
        this.zones = zones;
        this.perMarket = perMarket;
        this.lagS = lagS;
        this.boot = boot;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000L;
    }

    synchronized List<Machine> up() {
        List<Machine> up = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.worker != null && machine.goneAt == 0) up.add(machine);
        return up;
    }

    synchronized String zoneOf(String machine) {
        return machines.get(machine).zone;
    }

    Http.Response handle(Http.Request request) throws Exception {
        if (down) return new Http.Response(503, Json.map("error", "trouble"));
        Thread.sleep(latencyMs);
        if (request.path.equals("/flavors")) {
            return new Http.Response(200, Json.map("rigs", List.of(Json.map("name", type, "cores", cores,
                "accelerators", gpus, "memGb", memGb, "localGb", 50.0, "pullGbPerS", 1.0, "rate", 21.54, "lowPrice",
                6.58, "readyS", Math.max(1.0, bootS), "halls", zones))));
        }
        if (request.path.equals("/machines/release")) return release(Json.object(request.body));
        if (request.method.equals("GET")) return list(request);
        return rent(Json.object(request.body));
    }

    private synchronized Http.Response rent(Map<String, Object> body) {
        String name = (String) body.get("hire");
        if (answered.containsKey(name)) return new Http.Response(200, Json.map("stalls", answered.get(name)));
        String zone = (String) body.get("hall");
        boolean spot = (Boolean) body.get("borrowedRigs");
        if (!type.equals(body.get("rig")) || !zones.contains(zone)) {
            return new Http.Response(400, Json.map("error", "malformed"));
        }
        int used = 0;
        for (Machine m : machines.values()) if (m.goneAt == 0 && m.zone.equals(zone) && m.spot == spot) used++;
        int count = (int) Math.min(Json.number(body.get("count")), inZone.getOrDefault(zone, perMarket) - used);
        if (count <= 0) return new Http.Response(503, Json.map("error", "no capacity"));
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.id = String.format("host-%06d", next++);
            machine.zone = zone;
            machine.spot = spot;
            machine.rentedAt = now();
            machines.put(machine.id, machine);
            ids.add(machine.id);
            Http.daemon(() -> bootUp(machine));
        }
        answered.put(name, ids);
        return new Http.Response(200, Json.map("stalls", ids));
    }

    private void bootUp(Machine machine) {
        try {
            Thread.sleep((long) (bootS * 1000));
            synchronized (this) {
                if (machine.goneAt != 0) return;
                machine.state = "running";
            }
            Worker worker = boot.worker(machine);
            synchronized (this) {
                machine.worker = worker;
                if (machine.goneAt != 0) worker.end("machine returned");
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized Http.Response release(Map<String, Object> body) {
        for (Object id : (List<?>) body.get("stalls")) {
            Machine machine = machines.get(id);
            if (machine == null || machine.goneAt != 0) continue;
            machine.goneAt = now();
            if (machine.worker != null) machine.worker.end("machine returned");
        }
        return new Http.Response(200, Json.map());
    }

    /** The machine stops with all that is on it; it stays listed as running for 30 s, then as failed. */
    void die(Machine machine) {
        synchronized (this) {
            if (machine.worker != null) machine.worker.end("machine died");
        }
        Http.daemon(() -> {
            try {
                Thread.sleep(30_000);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                machine.state = "failed";
            }
        });
    }

    /** The list as it was {@link #lagS} seconds ago. */
    private synchronized Http.Response list(Http.Request request) {
        long at = now() - (long) (lagS * 1000);
        String after = request.query.getOrDefault("after", "");
        List<Object> page = new ArrayList<>();
        for (Machine m : machines.tailMap(after, false).values()) {
            if (m.rentedAt > at || (m.goneAt != 0 && m.goneAt <= at)) continue;
            page.add(Json.map("id", m.id, "addr", m.worker == null ? null : m.worker.address, "rig", type, "hall",
                m.zone, "borrowedRigs", m.spot, "standing", m.state, "ageS", (at - m.rentedAt) / 1000.0));
        }
        return new Http.Response(200, Json.map("stalls", page, "more", false));
    }
}
