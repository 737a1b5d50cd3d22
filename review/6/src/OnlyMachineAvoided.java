import java.util.Map;

/** The only machine that a job may use fails its task once, and then works again. */
final class OnlyMachineAvoided {
    private static final double MOST_S = 90.0;

    private OnlyMachineAvoided() {}

    public static void main(String[] args) {
        Site.main(args[0], OnlyMachineAvoided::run);
    }

    private static String run(Site site) throws Exception {
        // The figures of perth-mailflow.
        site.zones = java.util.List.of("kewdale", "bunbury");
        site.homes = new String[] {"kewdale", "bunbury", "kewdale"};
        site.type = "belthost";
        site.memGb = 288;
        site.reportS = 3.0;
        site.leaseS = 31.0;
        site.cancelS = 51.0;
        site.gangWaitS = 30.0;
        site.stateRps = 250;
        site.writeRps = 40;
        site.txnOps = 12;
        site.cloudRps = 5;
        site.cpu = 0.33;
        site.memMb = 268;
        site.sockets = 1800;
        site.perMarket = 1;
        site.prepare();
        site.startAll();
        Site.Controller leader = site.awaitLeader(20);
        Map<String, Object> job = site.job("req-000001", "array", 1, 20);
        job.put("hall", "bunbury");
        job.put("borrowedRigs", false);
        site.submit(leader, job);
        Worker only = null;
        for (int i = 0; i < 300 && only == null; i++) {
            for (Cloud.Machine machine : site.cloud.up()) only = machine.worker;
            Thread.sleep(20);
        }
        if (only == null) throw new Site.NotRun("no machine was rented");
        only.fails = site.trouble;
        site.awaitPresentOnce("req-000001/0", 20);
        Thread.sleep(1000);
        only.fails = false;
        site.note("TROUBLE is over");
        double since = site.seconds();
        double waited = 0;
        while (site.seconds() - since < MOST_S + 6) {
            boolean running = site.presentOf("req-000001") > 0;
            boolean room = !site.cloud.up().isEmpty();
            // Counted without a break, and only while the machine is up, empty and works.
            waited = running || !room ? 0 : waited + 0.1;
            if (waited > MOST_S) {
                return "left waiting for " + (int) MOST_S + " s beside an empty machine that fits; starts: "
                    + site.starts.get("req-000001/0");
            }
            if (site.starts.getOrDefault("req-000001/0", 0) > (site.trouble ? 1 : 0) && running) {
                site.note("started after " + (site.seconds() - since));
                if (site.trouble) return null;
            }
            Map<String, Object> status = (int) (site.seconds() * 10) % 50 == 0 ? site.poll(leader, "req-000001") : null;
            if (status != null && "done".equals(status.get("standing"))) return null;
            Thread.sleep(100);
        }
        return null;
    }
}
