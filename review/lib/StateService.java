import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A state service as PROTOCOL describes it, with its limits on rates and sizes. */
final class StateService {
    private static final class Item {
        final Object value;
        final long version;
        final Long lease;

        Item(Object value, long version, Long lease) {
            this.value = value;
            this.version = version;
            this.lease = lease;
        }
    }

    private static final class Lease {
        final double ttl;
        double until;

        Lease(double ttl, double until) {
            this.ttl = ttl;
            this.until = until;
        }
    }

    private static final class Bucket {
        final double rate;
        double tokens;
        double at;

        Bucket(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean take(double count, double now) {
            tokens = Math.min(rate, tokens + (now - at) * rate);
            at = now;
            if (tokens < count) return false;
            tokens -= count;
            return true;
        }
    }

    private static final int KEPT_CHANGES = 10_000;
    private final Run run;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Map<String, Object>> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private long revision;
    private long nextLease = 1;
    private long forgottenUpTo;
    private final int valueBytes;
    private final int operations;

    StateService(Run run, int port, Map<String, Object> limits) throws IOException {
        this.run = run;
        requests = new Bucket(((Number) limits.get("rps")).doubleValue());
        writes = new Bucket(((Number) limits.get("write_rps")).doubleValue());
        valueBytes = (int) (((Number) limits.get("value_kb")).doubleValue() * 1024);
        operations = ((Number) limits.get("txn_ops")).intValue();
        run.serve(port, this::answer);
        run.threads.submit(() -> {
            while (true) {
                Run.sleep(0.02);
                expire();
            }
        });
    }

    private synchronized void expire() {
        double now = run.now();
        boolean changed = false;
        for (Iterator<Map.Entry<Long, Lease>> all = leases.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Long, Lease> lease = all.next();
            if (now < lease.getValue().until) continue;
            all.remove();
            changed |= dropLeased(lease.getKey());
        }
        if (changed) notifyAll();
    }

    private boolean dropLeased(long lease) {
        List<String> keys = new ArrayList<>();
        for (Map.Entry<String, Item> item : items.entrySet()) {
            if (item.getValue().lease != null && item.getValue().lease == lease) keys.add(item.getKey());
        }
        if (keys.isEmpty()) return false;
        revision++;
        for (String key : keys) drop(key);
        return true;
    }

    private void drop(String key) {
        if (items.remove(key) == null) return;
        add(Json.of("drop", key, "entryMark", revision));
    }

    private void add(Map<String, Object> change) {
        changes.addLast(change);
        if (changes.size() > KEPT_CHANGES) forgottenUpTo = (Long) changes.removeFirst().get("entryMark");
    }

    private static String query(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        if (query == null) return null;
        for (String part : query.split("&")) if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
        return null;
    }

    private Run.Answer answer(HttpExchange exchange, String body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        synchronized (this) {
            if (!requests.take(1, run.now())) return new Run.Answer(429, "{\"error\":\"too many requests\"}");
        }
        if (path.equals("/watch")) return watch(exchange);
        synchronized (this) {
            if (path.equals("/commit")) return commit(Json.object(body));
            if (path.equals("/store")) return list(exchange);
            if (path.startsWith("/store/")) return read(path.substring("/store/".length()));
            if (path.startsWith("/leases")) return lease(exchange.getRequestMethod(), path.split("/"), body);
        }
        return new Run.Answer(404, "{}");
    }

    private Map<String, Object> entry(String key, Item item) {
        Map<String, Object> entry = Json.of("k", key, "value", item.value, "entryMark", item.version);
        if (item.lease != null) entry.put("permit", item.lease);
        return entry;
    }

    private Run.Answer read(String key) {
        Item item = items.get(key);
        if (item == null) return new Run.Answer(404, Json.text(Json.of("ledgerMark", revision)));
        return Run.ok(entry(key, item));
    }

    private Run.Answer list(HttpExchange exchange) {
        String prefix = query(exchange, "prefix");
        String after = query(exchange, "after");
        String page = query(exchange, "page");
        int limit = Math.min(1000, page == null ? 1000 : Integer.parseInt(page));
        List<Object> entries = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Item> item : items.tailMap(prefix).entrySet()) {
            if (!item.getKey().startsWith(prefix)) break;
            if (after != null && item.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> entry = entry(item.getKey(), item.getValue());
            bytes += Json.text(entry).length();
            if (entries.size() == limit || bytes > 500 * 1024) {
                more = true;
                break;
            }
            entries.add(entry);
        }
        return Run.ok(Json.of("entries", entries, "more", more, "ledgerMark", revision));
    }

    @SuppressWarnings("unchecked")
    private Run.Answer commit(Map<String, Object> body) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("when", List.of());
        List<Map<String, Object>> changed = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        if (changed.size() > operations || conditions.size() > 4 * operations) {
            return new Run.Answer(400, "{\"error\":\"too many operations\"}");
        }
        for (Map<String, Object> write : changed) {
            if (Json.text(write.get("value")).length() > valueBytes) return new Run.Answer(400, "{\"error\":\"too large\"}");
        }
        if (!writes.take(changed.size(), run.now())) return new Run.Answer(429, "{\"error\":\"too many changes\"}");
        for (Map<String, Object> write : changed) {
            if (write.get("permit") != null && !leases.containsKey(write.get("permit"))) {
                return new Run.Answer(400, "{\"error\":\"no such lease\"}");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Item item = items.get(condition.get("k"));
            if ((item == null ? 0L : item.version) != (Long) condition.get("entryMark")) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return new Run.Answer(409, Json.text(Json.of("failed", failed, "ledgerMark", revision)));
        if (!changed.isEmpty()) revision++;
        for (Map<String, Object> write : changed) {
            String key = (String) write.get("put");
            if (key == null) {
                drop((String) write.get("drop"));
            } else {
                items.put(key, new Item(write.get("value"), revision, (Long) write.get("permit")));
                add(Json.of("put", key, "value", write.get("value"), "entryMark", revision));
            }
        }
        notifyAll();
        return Run.ok(Json.of("ledgerMark", revision));
    }

    private Run.Answer lease(String method, String[] path, String body) {
        double now = run.now();
        if (path.length == 2) {
            double ttl = ((Number) Json.object(body).get("ttlMs")).doubleValue() / 1000;
            long lease = nextLease++;
            leases.put(lease, new Lease(ttl, now + ttl));
            return Run.ok(Json.of("permit", lease));
        }
        long id = Long.parseLong(path[2]);
        Lease lease = leases.get(id);
        if (lease == null || now >= lease.until) return new Run.Answer(404, "{\"error\":\"no such lease\"}");
        if (method.equals("DELETE")) {
            leases.remove(id);
            if (dropLeased(id)) notifyAll();
        } else {
            lease.until = now + lease.ttl;
        }
        return Run.ok(Json.of("permit", id));
    }

    private synchronized Run.Answer watch(HttpExchange exchange) throws InterruptedException {
        String prefix = query(exchange, "prefix");
        long after = Long.parseLong(query(exchange, "after"));
        String block = query(exchange, "blockMs");
        double until = run.now() + (block == null ? 0 : Long.parseLong(block)) / 1000.0;
        while (true) {
            if (after < forgottenUpTo) return new Run.Answer(410, "{\"error\":\"too old\"}");
            List<Object> found = new ArrayList<>();
            if (revision > after) {
                for (Map<String, Object> change : changes) {
                    if ((Long) change.get("entryMark") <= after) continue;
                    String key = (String) (change.containsKey("put") ? change.get("put") : change.get("drop"));
                    if (key.startsWith(prefix)) found.add(change);
                }
            }
            double left = until - run.now();
            if (!found.isEmpty() || left <= 0) return Run.ok(Json.of("ledgerMark", revision, "events", found));
            wait(Math.max(1, (long) (left * 1000)));
        }
    }
}
