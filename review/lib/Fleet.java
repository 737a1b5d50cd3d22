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
    /** Whether machines fail every task that they start. */
    volatile boolean failing;

    Fleet(double reportS, double leaseS) {
        this.reportS = reportS;
        this.leaseS = leaseS;
    }
}
