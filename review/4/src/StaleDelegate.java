import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A follower takes a delegation of a term that it knows to be over, and keeps the tasks of its zone alive. */
final class StaleDelegate {
    private static final long MS = 1_000_000L;
    /**
     * How long after the last report that reached the leader another controller claims, as the leader's own bounds have
     * it: a zone counts as silent after 1.5 s and the longest time between two reports, 1.25 * 5 s; a claim takes 0.1 s.
     * It only picks a moment: if it is off, the rule holds and the script exits with 0.
     */
    private static final long CLAIMS_AFTER_MS = 7865;

    /** Machines in each zone, with one task each. */
    private static final int MACHINES = 7;

    private StaleDelegate() {}

    /** When messages are sent on a link, about once a second. */
    private static final class Beat {
        private final Link link;
        private long first;
        private long last;
        private int beats = -1;

        Beat(Link link) {
            this.link = link;
        }

        void look() {
            if (link.lastForward <= last + 500 * MS) return;
            last = link.lastForward;
            if (beats < 0) first = last;
            beats++;
        }

        long period() {
            return (last - first) / beats;
        }

        /** The last beat before a time to come. */
        long before(long time) {
            return last + (time - last) / period() * period();
        }
    }

    public static void main(String[] args) {
        Site.main(args[0], StaleDelegate::run);
    }

    private static Map<String, Object> job(Site site, String id, String zone) {
        Map<String, Object> job = site.job(id, "daemon", MACHINES, 0);
        job.put("cores", 40.0);
        job.put("accelerators", 8.0);
        job.put("memGb", 200.0);
        job.put("hall", zone);
        return job;
    }

    private static String run(Site site) throws Exception {
        // The figures of perth-mailflow-fleet.
        site.zones = List.of("kewdale", "bunbury");
        site.homes = new String[] {"kewdale", "bunbury", "kewdale"};
        site.type = "belthost";
        site.memGb = 288;
        site.reportS = 5.0;
        site.leaseS = 31.0;
        site.cancelS = 51.0;
        site.stateRps = 250;
        site.writeRps = 35;
        site.txnOps = 12;
        site.gangWaitS = 30;
        site.gangPeerS = 4;
        site.cloudRps = 5;
        site.cpu = 0.221;
        site.memMb = 257;
        site.sockets = 1562;
        site.prepare();
        Site.Controller old = site.controllers.get(0);
        Site.Controller delegate = site.controllers.get(1);
        Site.Controller next = site.controllers.get(2);
        site.cloud.inZone.put("kewdale", MACHINES);
        site.cloud.inZone.put("bunbury", MACHINES);
        site.cloud.latencyMs = 250;
        site.start(old);
        site.awaitReady(old, 20);
        if (site.awaitLeader(20) != old) throw new Site.NotRun("another leader");
        site.start(delegate);
        Thread.sleep(450);
        site.start(next);
        site.awaitReady(delegate, 20);
        site.awaitReady(next, 20);
        site.submit(old, job(site, "req-000001", "kewdale"));
        site.awaitPresent("req-000001", MACHINES, 40);
        site.submit(old, job(site, "req-000002", null));
        site.awaitPresent("req-000002", MACHINES, 40);
        site.cloud.inZone.put("kewdale", 0);
        site.cloud.inZone.put("bunbury", 0);
        Link hello = delegate.toPeers.get(old.name);
        List<Worker> all = new ArrayList<>();
        List<Worker> zone = new ArrayList<>();
        for (Cloud.Machine machine : site.cloud.up()) {
            all.add(machine.worker);
            if (machine.zone.equals("bunbury")) zone.add(machine.worker);
        }
        site.note("machines=" + all.size() + " in bunbury=" + zone.size());
        Thread.sleep(14_000);
        // Wait for a moment at which the leader, if it hears no worker from now on, gives up just after the next but
        // some message between the two controllers. It gives up some 7.9 s after the last report.
        long until = System.nanoTime() + 20_000 * MS;
        Beat question = new Beat(hello);
        Beat check = new Beat(next.toPeers.get(delegate.name));
        long newest = 0;
        long asked = 0;
        while (site.trouble) {
            question.look();
            check.look();
            long report = 0;
            for (Worker w : all) report = Math.max(report, w.answeredAt);
            if (report != newest && question.beats >= 4 && check.beats >= 4) {
                newest = report;
                long claim = newest * MS + CLAIMS_AFTER_MS * MS;
                asked = question.before(claim);
                long checked = check.before(claim) + check.period();
                boolean inFlight = claim - asked > 50 * MS && claim - asked < 750 * MS;
                if (inFlight && checked - claim > 80 * MS && checked - claim < 170 * MS) break;
            }
            if (System.nanoTime() > until) throw new Site.NotRun("no moment found");
            Thread.sleep(1);
        }
        long claimed = site.state.ledAt;
        if (site.trouble) {
            site.note("TROUBLE the leader loses the workers");
            for (Worker w : all) {
                w.cutFrom.add(old.name);
                w.directCut = true;
            }
            delegate.state.leaseDelayMs = 400;
            while (System.nanoTime() < asked - 100 * MS) Thread.sleep(1);
            site.note("TROUBLE packets from " + old.name + " to " + delegate.name + " are delayed");
            hello.holdBack(true);
            while (site.state.ledAt == claimed) {
                if (System.nanoTime() > until + 12_000 * MS) throw new Site.NotRun("no new leader");
                Thread.sleep(1);
            }
            long at = site.state.ledAt;
            site.note("new leader " + site.state.leader + ", question " + (at - hello.lastForward) / MS + " ms before, last report "
                + (at / MS - newest) + " ms before");
            if (!next.name.equals(site.state.leader)) throw new Site.NotRun("another new leader");
            for (Worker w : all) w.directCut = false;
            while (System.nanoTime() < at + 80 * MS) Thread.sleep(1);
            hello.holdBack(false);
            site.note("the delayed packets arrive");
            Link there = delegate.toPeers.get(next.name);
            Link here = next.toPeers.get(delegate.name);
            while (System.nanoTime() < at + 240 * MS) {
                long seen = at + 60 * MS;
                if ((there.lastForward > seen || here.lastBack > seen) && System.nanoTime() > at + 120 * MS) break;
                Thread.sleep(1);
            }
            Thread.sleep(10);
            site.note("TROUBLE zone bunbury is cut off " + (System.nanoTime() - at) / MS + " ms after the claim, heard="
                + (there.lastForward > at + 60 * MS) + "," + (here.lastBack > at + 60 * MS));
            for (Worker w : all) if (!zone.contains(w)) w.cutFrom.clear();
            for (Worker w : zone) {
                w.cutFrom.add(next.name);
                w.directCut = true;
            }
            site.cloud.inZone.put("kewdale", 3 * MACHINES);
            delegate.state.silent = true;
            for (Link link : delegate.toPeers.values()) link.set(Link.Mode.HOLD);
            old.toPeers.get(delegate.name).set(Link.Mode.HOLD);
            next.toPeers.get(delegate.name).set(Link.Mode.HOLD);
            delegate.state.leaseDelayMs = 0;
        }
        double from = site.seconds();
        while (site.seconds() - from < 49) {
            if (!site.twice.isEmpty()) return "ran_twice: " + site.twice.get(0);
            Thread.sleep(100);
        }
        return null;
    }
}
