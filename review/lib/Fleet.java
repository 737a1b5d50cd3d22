import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What all workers share: the machine type, the times, the controllers' addresses, and the uploaded descriptions. */
final class Fleet {
    final String type = "netrack";
    double cores = 48;
    double accelerators = 8;
    double memGb = 384;
    double pullGbPerS = 0.25;
    final double reportS;
    final double leaseS;
    /** The descriptions that users have uploaded, by job. */
    final Map<String, Map<String, Object>> descriptions = new ConcurrentHashMap<>();
    /** How long a task really runs, by job. */
    final Map<String, Double> runS = new ConcurrentHashMap<>();
    /** How often each task was started, and how often it was lost with its worker's lease, by job. */
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    final Map<String, Integer> losses = new ConcurrentHashMap<>();
    final Map<String, Integer> completions = new ConcurrentHashMap<>();

    /** How many tasks of each job are on machines at present, in any state but ended. */
    final Map<String, Integer> present = new ConcurrentHashMap<>();

    final double gangWaitS = 45;
    final double gangPeerS = 5;

    /** One attempt of a gang. Its tasks locate each other here. */
    static final class Gang {
        private int waiting;
        private double startedAt = Double.MAX_VALUE;
        private double brokenAt = Double.MAX_VALUE;

        synchronized void waits(int tasks, double now) {
            if (++waiting == tasks) startedAt = now;
        }

        synchronized void waitsNoMore() {
            waiting--;
        }

        synchronized boolean started() {
            return startedAt < Double.MAX_VALUE;
        }

        synchronized double startedAt() {
            return startedAt;
        }

        synchronized void lostMember(double now) {
            brokenAt = Math.min(brokenAt, now);
        }

        synchronized double brokenAt() {
            return brokenAt;
        }
    }

    private final Map<String, Gang> gangs = new ConcurrentHashMap<>();

    Gang gang(String job, long attempt) {
        return gangs.computeIfAbsent(job + " " + attempt, key -> new Gang());
    }

    Fleet(double reportS, double leaseS) {
        this.reportS = reportS;
        this.leaseS = leaseS;
    }
}
