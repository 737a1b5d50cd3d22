import java.util.List;
import java.util.Map;

/** A service whose tasks need exactly the limit of their team. */
final class ExactlyAtLimit {
    private ExactlyAtLimit() {}

    public static void main(String[] args) {
        Site.main(args[0], ExactlyAtLimit::run);
    }

    private static String run(Site site) throws Exception {
        // Three tasks of 1.1 cores are 3.3 cores, the limit; without the disruption two tasks are 2.2 cores.
        int tasks = site.trouble ? 3 : 2;
        site.teams = List.of(
            Json.map("name", "floor-desk", "cpus", 0.0, "cpus_max", 3.3, "gpus", 0.0, "gpus_max", 0.0));
        site.prepare();
        site.startAll();
        Site.Controller leader = site.awaitLeader(20);
        Map<String, Object> job = site.job("req-000001", "daemon", tasks, 0);
        job.put("cores", 1.1);
        Http.Response response = site.submit(leader, job);
        if (response == null) throw new Site.NotRun("no answer");
        if (response.status == 422) return "refused for good, though it fits the team's limit: " + response.body;
        if (response.status != 201) throw new Site.NotRun("answered with " + response.status);
        site.awaitPresent("req-000001", tasks, 60);
        return null;
    }
}
