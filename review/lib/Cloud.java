import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A cloud as PROTOCOL describes it: one machine type, room for some machines in each zone and kind. */
final class Cloud {
    static final class Machine {
        String id;
        String zone;
        boolean spot;
        double rentedAt;
        double upAt;
        Worker worker;
    }

    private final Run run;
    private final Fleet fleet;
    private final List<String> zones;
    /** For how many machines of each kind, spot or ordinary, a zone has room. */
    private final Map<String, Integer> room;
    private final double bootS;
    private final double lag;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> hires = new HashMap<>();
    /** Machines that are gone and still listed, with the time of their end. */
    private final Map<Machine, Double> gone = new LinkedHashMap<>();
    private int next = 1;

    Cloud(Run run, int port, Fleet fleet, List<String> zones, int perMarket, double bootS, double lag)
            throws IOException {
        this(run, port, fleet, zones, everywhere(zones, perMarket), bootS, lag);
    }

    private static Map<String, Integer> everywhere(List<String> zones, int perMarket) {
        Map<String, Integer> room = new HashMap<>();
        for (String zone : zones) room.put(zone, perMarket);
        return room;
    }

    Cloud(Run run, int port, Fleet fleet, List<String> zones, Map<String, Integer> room, double bootS, double lag)
            throws IOException {
        this.run = run;
        this.fleet = fleet;
        this.zones = zones;
        this.room = room;
        this.bootS = bootS;
        this.lag = lag;
        run.serve(port, this::answer);
        run.threads.submit(() -> {
            while (true) {
                Run.sleep(0.05);
                boot();
            }
        });
    }

    private synchronized void boot() {
        for (Machine machine : machines.values()) {
            if (machine.worker != null || run.now() < machine.upAt) continue;
            try {
                machine.worker = new Worker(run, fleet, machine.id, machine.zone, machine.spot);
                run.note("machine", machine.id + " is up in " + machine.zone);
            } catch (IOException e) {
                run.finish(Run.COULD_NOT_RUN, "a worker can't listen: " + e);
            }
        }
    }

    synchronized int up() {
        int count = 0;
        for (Machine machine : machines.values()) if (machine.worker != null) count++;
        return count;
    }

    /** Whether a machine that is up has room for a task with these amounts. */
    synchronized boolean roomFor(double cores, double accelerators, double memGb) {
        for (Machine machine : machines.values()) {
            if (machine.worker != null && machine.worker.hasRoom(cores, accelerators, memGb)) return true;
        }
        return false;
    }

    @SuppressWarnings("unchecked")
    private synchronized Run.Answer answer(HttpExchange exchange, String body) {
        String path = exchange.getRequestURI().getPath();
        boolean post = exchange.getRequestMethod().equals("POST");
        if (path.equals("/flavors")) {
            return Run.ok(Json.of("rigs", List.of(Json.of("name", fleet.type, "cores", fleet.cores,
                    "accelerators", fleet.accelerators, "memGb", fleet.memGb, "localGb", 50.0, "pullGbPerS",
                    fleet.pullGbPerS, "rate", 21.54, "lowPrice", 6.58, "readyS", bootS, "halls", zones))));
        }
        if (path.equals("/machines") && post) return rent(Json.object(body));
        if (path.equals("/machines/release")) {
            for (Object id : (List<Object>) Json.object(body).get("stalls")) release((String) id);
            return Run.ok(Json.of());
        }
        if (path.equals("/machines")) return list(exchange.getRequestURI().getQuery());
        return new Run.Answer(404, "{}");
    }

    private Run.Answer rent(Map<String, Object> body) {
        String name = (String) body.get("hire");
        if (hires.containsKey(name)) return Run.ok(Json.of("stalls", hires.get(name)));
        String zone = (String) body.get("hall");
        boolean spot = (Boolean) body.get("borrowedRigs");
        if (!fleet.type.equals(body.get("rig")) || !zones.contains(zone)) return new Run.Answer(400, "{}");
        int used = 0;
        for (Machine machine : machines.values()) if (machine.zone.equals(zone) && machine.spot == spot) used++;
        int count = Math.min(((Number) body.get("count")).intValue(), room.get(zone) - used);
        if (count <= 0) run.note("cloud", name + " in " + zone + ": no capacity");
        if (count <= 0) return new Run.Answer(503, "{\"error\":\"no capacity\"}");
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.id = String.format("host-%06d", next++);
            machine.zone = zone;
            machine.spot = spot;
            machine.rentedAt = run.now();
            machine.upAt = run.now() + bootS;
            machines.put(machine.id, machine);
            ids.add(machine.id);
        }
        hires.put(name, ids);
        run.note("cloud", name + " rents " + ids);
        return Run.ok(Json.of("stalls", ids));
    }

    private void release(String id) {
        Machine machine = machines.remove(id);
        if (machine == null) return;
        run.note("cloud", id + " is released");
        gone.put(machine, run.now());
        if (machine.worker != null) machine.worker.end("released");
    }

    private Run.Answer list(String query) {
        String after = "";
        int page = 500;
        for (String part : query == null ? new String[0] : query.split("&")) {
            if (part.startsWith("after=")) after = part.substring(6);
            if (part.startsWith("page=")) page = Math.min(500, Integer.parseInt(part.substring(5)));
        }
        double now = run.now();
        gone.values().removeIf(at -> now - at > lag);
        java.util.TreeMap<String, Machine> listed = new java.util.TreeMap<>();
        for (Machine machine : machines.values()) if (now - machine.rentedAt >= lag) listed.put(machine.id, machine);
        for (Machine machine : gone.keySet()) listed.put(machine.id, machine);
        List<Object> stalls = new ArrayList<>();
        boolean more = false;
        for (Machine machine : listed.tailMap(after, false).values()) {
            if (stalls.size() == page) {
                more = true;
                break;
            }
            Map<String, Object> entry = Json.of("id", machine.id, "rig", fleet.type, "hall", machine.zone,
                    "borrowedRigs", machine.spot, "standing", machine.worker != null ? "running" : "booting",
                    "ageS", now - machine.rentedAt);
            if (machine.worker != null) entry.put("addr", machine.worker.address());
            stalls.add(entry);
        }
        return Run.ok(Json.of("stalls", stalls, "more", more));
    }
}
