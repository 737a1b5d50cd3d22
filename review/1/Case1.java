import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** Two services whose owners left all amounts at 0 are accepted; then no controller answers or schedules any more. */
final class Case1 {
    /** LATER.md beside the hunt: "a job about which no question is answered for 75 s counts as forgotten". */
    private static final double FORGOTTEN_S = 75;

    public static void main(String[] args) throws Exception {
        Run run = new Run(args[0]);
        int statePort = Run.freePort();
        int cloudPort = Run.freePort();
        java.util.Map<String, Object> settings = Site.settings();
        run.createControllers(Site.NODES, Site.ZONES, statePort, cloudPort, settings);
        Fleet fleet = new Fleet(1.0, 11.0);
        @SuppressWarnings("unchecked")
        java.util.Map<String, Object> limits = (java.util.Map<String, Object>) settings.get("state");
        new StateService(run, statePort, limits);
        Cloud cloud = new Cloud(run, cloudPort, fleet, List.of("hawassa", "tana", "ziway"), 4, 2.0, 3.0);
        for (Run.Controller controller : run.controllers) {
            controller.start();
            controller.supervise(5);
        }
        run.awaitReady(20);
        Users users = new Users(run, fleet);
        String asked = "req-000101";
        if (users.submit(Site.job(asked, "catch-scorer", "daemon", "production", 2, 4, 1, 29, 0, 0, 0), 0, 20).status > 201) {
            run.finish(Run.COULD_NOT_RUN, "the first service was not accepted");
        }
        if (users.await(asked, "\"running\":2", 25) == null) run.finish(Run.COULD_NOT_RUN, "the first service does not run");

        double amount = run.trouble ? 0.0 : 1.0;
        users.submit(Site.job("req-000102", "price-board", "daemon", "production", 1, amount, 0.0, amount, 0, 0, 0), 0, 4);
        users.submit(Site.job("req-000104", "lot-board", "daemon", "production", 1, amount, 0.0, amount, 0, 0, 0), 0, 4);
        double since = run.now();
        run.note("trouble", run.trouble ? "two services with the amounts 0 were submitted" : "none");

        // A further job, and questions about the first service at every node, once a second.
        Future<Run.Answer> further = run.threads.submit(() -> users.submit(
                Site.job("req-000103", "lot-photo-sort", "array", "idle", 1, 5, 1, 36, 3, 0, 0), 3, 60));
        double lastAnswer = since;
        double longest = 0;
        int answered = 0;
        int unanswered = 0;
        while (run.now() < since + FORGOTTEN_S + 22 && run.now() - lastAnswer <= FORGOTTEN_S) {
            List<Future<Run.Answer>> round = new ArrayList<>();
            double at = run.now();
            for (Run.Controller node : run.controllers) round.add(run.threads.submit(() -> users.ask(node, asked)));
            StringBuilder line = new StringBuilder();
            for (Future<Run.Answer> question : round) {
                Run.Answer answer = question.get();
                boolean counts = answer.status == 200 || answer.status == 404;
                if (counts) {
                    answered++;
                    longest = Math.max(longest, run.now() - lastAnswer);
                    lastAnswer = run.now();
                } else {
                    unanswered++;
                }
                line.append(answer.status == 0 ? "none " : answer.status + " ");
            }
            run.note("poll", asked + " at all nodes: " + line);
            Run.sleep(at + 1 - run.now());
        }
        longest = Math.max(longest, run.now() - lastAnswer);
        run.note("result", "polls answered " + answered + ", not answered " + unanswered + ", longest time without an "
                + "answer from any node " + Math.round(longest) + " s, machines up " + cloud.up() + ", tasks of "
                + asked + " started " + fleet.starts.get(asked) + " lost " + fleet.losses.getOrDefault(asked, 0)
                + ", req-000103: " + (further.isDone() ? further.get() : "not accepted yet") + ", completed "
                + fleet.completions.getOrDefault("req-000103", 0));
        if (longest >= FORGOTTEN_S) {
            run.finish(Run.BROKEN, "no question about " + asked + " was answered for " + Math.round(longest) + " s");
        }
        run.finish(Run.HELD, "longest time without an answer " + Math.round(longest) + " s");
    }
}
