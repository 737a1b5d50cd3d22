import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The state service of PROTOCOL, in memory. Each controller is given an address of its own, so that the service can
 * refuse one controller alone.
 */
final class StateService {
    static final class Item {
        Object value;
        long version;
        Long lease;
    }

    private static final class Event {
        String key;
        Object value;
        boolean put;
        long version;
    }

    /** What the service does to the requests of one controller. */
    static final class Port {
        final int number;
        /** Answers 503, while open watches wait. */
        volatile boolean refuses;
        /** The transactions whose answers are lost after they were carried out. */
        volatile Predicate<Http.Request> losesAnswer = r -> false;
        /** How long a transaction is held back before it is carried out, unanswered; 0 for none. */
        volatile java.util.function.ToLongFunction<Http.Request> lateMs = r -> 0;
        /** How long a request for a lease takes. */
        volatile long leaseDelayMs;
        /** A cut separates the controller from the service: requests and open watches hang. */
        volatile boolean silent;

        Port(int number) {
            this.number = number;
        }
    }

    private static final String LEADER = "v/a/leader";
    /** Who claimed last, and when by {@link System#nanoTime}: for the order of a test's steps only. */
    volatile String leader;
    volatile long ledAt;
    private static final int KEPT_EVENTS = 10_000;
    final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayList<Event> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private long revision;
    private long nextLease = 1;
    private boolean down;

    Port open(int port) throws IOException {
        Port gate = new Port(port);
        ServerSocket server = Http.serve(port, request -> handle(gate, request));
        return gate;
    }

    synchronized void setDown(boolean value) {
        if (down && !value) renewAll();
        down = value;
        notifyAll();
    }

    private void renewAll() {
        for (long[] lease : leases.values()) lease[0] = now() + lease[1];
    }

    private static long now() {
        return System.nanoTime() / 1_000_000L;
    }

    private Http.Response handle(Port gate, Http.Request request) throws Exception {
        if (gate.silent) {
            Thread.sleep(30_000);
            return null;
        }
        if (request.path.equals("/leases")) Thread.sleep(gate.leaseDelayMs);
        if (request.path.equals("/watch")) return watch(gate, request);
        if (gate.refuses || isDown()) return new Http.Response(503, Json.map("error", "trouble"));
        if (request.path.equals("/commit")) {
            long late = gate.lateMs.applyAsLong(request);
            if (late > 0) {
                Http.daemon(() -> {
                    try {
                        Thread.sleep(late);
                    } catch (InterruptedException e) {
                        return;
                    }
                    commit(Json.object(request.body));
                });
                Thread.sleep(20_000);
                return null;
            }
            Http.Response response = commit(Json.object(request.body));
            if (gate.losesAnswer.test(request)) {
                Thread.sleep(20_000);
                return null;
            }
            return response;
        }
        if (request.path.equals("/store")) return list(request);
        if (request.path.startsWith("/store/")) return read(request.path.substring(7));
        if (request.path.startsWith("/leases")) return lease(request);
        return new Http.Response(404, Json.map("error", "no such path"));
    }

    synchronized boolean isDown() {
        return down;
    }

    private void expire() {
        if (down) return;
        List<Long> over = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease[0] <= now()) over.add(id);
        });
        over.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease != null && item.lease == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) != null) add(key, null, false);
    }

    private void add(String key, Object value, boolean put) {
        Event event = new Event();
        event.key = key;
        event.value = value;
        event.put = put;
        event.version = revision;
        events.add(event);
        if (events.size() > 2 * KEPT_EVENTS) events.subList(0, KEPT_EVENTS).clear();
    }

    private static Map<String, Object> entry(String key, Item item) {
        return Json.map("k", key, "value", item.value, "entryMark", item.version, "permit", item.lease);
    }

    private synchronized Http.Response read(String key) {
        expire();
        Item item = items.get(key);
        return item == null
            ? new Http.Response(404, Json.map("ledgerMark", revision))
            : new Http.Response(200, entry(key, item));
    }

    private synchronized Http.Response list(Http.Request request) {
        expire();
        String prefix = request.query.getOrDefault("prefix", "");
        String after = request.query.get("after");
        int limit = Math.min(1000, Integer.parseInt(request.query.getOrDefault("page", "1000")));
        List<Object> page = new ArrayList<>();
        boolean more = false;
        int size = 0;
        for (Map.Entry<String, Item> e : items.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            String text = Json.text(entry(e.getKey(), e.getValue()));
            size += text.length() + 1;
            if (page.size() == limit || size > 500 * 1024) {
                more = true;
                break;
            }
            page.add(entry(e.getKey(), e.getValue()));
        }
        return new Http.Response(200, Json.map("entries", page, "more", more, "ledgerMark", revision));
    }

    synchronized Http.Response commit(Map<String, Object> body) {
        expire();
        List<Map<String, Object>> writes = Json.objects(body.get("writes"));
        for (Map<String, Object> write : writes) {
            Object lease = write.get("permit");
            if (lease != null && !leases.containsKey(Json.number(lease))) {
                return new Http.Response(400, Json.map("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> when : Json.objects(body.get("when"))) {
            Item item = items.get((String) when.get("k"));
            if ((item == null ? 0 : item.version) != Json.number(when.get("entryMark"))) failed.add(when.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Response(409, Json.map("failed", failed, "ledgerMark", revision));
        if (!writes.isEmpty()) revision++;
        for (Map<String, Object> write : writes) {
            String key = (String) write.get("put");
            if (key == null) {
                remove((String) write.get("drop"));
                continue;
            }
            Item item = new Item();
            item.value = write.get("value");
            item.version = revision;
            item.lease = write.get("permit") == null ? null : Json.number(write.get("permit"));
            items.put(key, item);
            add(key, item.value, true);
        }
        for (Map<String, Object> write : writes) {
            if (LEADER.equals(write.get("put"))) {
                leader = (String) Json.object(Json.text(write.get("value"))).get("node");
                ledAt = System.nanoTime();
            }
        }
        notifyAll();
        return new Http.Response(200, Json.map("ledgerMark", revision));
    }

    private synchronized Http.Response lease(Http.Request request) {
        expire();
        String[] parts = request.path.split("/");
        if (parts.length == 2) {
            long ttl = Json.number(Json.object(request.body).get("ttlMs"));
            leases.put(nextLease, new long[] {now() + ttl, ttl});
            return new Http.Response(200, Json.map("permit", nextLease++));
        }
        long id = Long.parseLong(parts[2]);
        long[] lease = leases.get(id);
        if (lease == null) return new Http.Response(404, Json.map("error", "no such lease"));
        if (request.method.equals("DELETE")) endLease(id);
        else lease[0] = now() + lease[1];
        return new Http.Response(200, Json.map("permit", id));
    }

    private synchronized Http.Response watch(Port gate, Http.Request request) throws InterruptedException {
        String prefix = request.query.getOrDefault("prefix", "");
        long after = Long.parseLong(request.query.get("after"));
        long end = now() + Long.parseLong(request.query.getOrDefault("blockMs", "0"));
        if ((down || gate.refuses) && end <= now()) return new Http.Response(503, Json.map("error", "trouble"));
        while (true) {
            expire();
            if (!down && !gate.refuses && !gate.silent) {
                if (events.size() >= KEPT_EVENTS && after < events.get(events.size() - KEPT_EVENTS).version - 1) {
                    return new Http.Response(410, Json.map("error", "too old"));
                }
                List<Object> found = new ArrayList<>();
                for (int i = events.size() - 1; i >= 0 && events.get(i).version > after; i--) {
                    Event event = events.get(i);
                    if (!event.key.startsWith(prefix)) continue;
                    found.add(0, event.put
                        ? Json.map("put", event.key, "value", event.value, "entryMark", event.version)
                        : Json.map("drop", event.key, "entryMark", event.version));
                }
                if (!found.isEmpty() || now() >= end) {
                    return new Http.Response(200, Json.map("ledgerMark", revision, "events", found));
                }
            }
            wait(20);
        }
    }
}
