import java.util.Map;

/** Users behind a load balancer that goes on to the next node when one does not accept or answer. */
final class Users {
    private final Run run;
    private final Fleet fleet;
    private int next;

    Users(Run run, Fleet fleet) {
        this.run = run;
        this.fleet = fleet;
    }

    private synchronized Run.Controller node() {
        return run.controllers.get(next++ % run.controllers.size());
    }

    /** Submits a job, again every second for [forS] while the answer says that it may be repeated. */
    Run.Answer submit(Map<String, Object> job, double runS, double forS) {
        String id = (String) job.get("id");
        fleet.descriptions.put(id, job);
        fleet.runS.put(id, runS);
        String body = Json.text(job);
        double until = run.now() + forS;
        run.note("submit", body);
        while (true) {
            Run.Controller node = node();
            Run.Answer answer = Run.call("POST", node.url("/work"), body, 5);
            run.note("answer", id + " submitted at " + node.name + ": " + answer);
            boolean last = answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422;
            if (last || run.now() > until) return answer;
            Run.sleep(1);
        }
    }

    /** Asks one node for a job, for 2 s at the most. */
    Run.Answer ask(Run.Controller node, String id) {
        return Run.call("GET", node.url("/work/" + id), null, 2);
    }

    /** Polls until the answer holds [part]; null if it does not within [forS]. */
    Run.Answer await(String id, String part, double forS) {
        double until = run.now() + forS;
        while (run.now() < until) {
            Run.Controller node = node();
            Run.Answer answer = ask(node, id);
            if (answer.status == 200 && answer.body.contains(part)) {
                run.note("poll", id + " at " + node.name + ": " + answer);
                return answer;
            }
            Run.sleep(0.5);
        }
        return null;
    }
}
