import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Submissions that lack a field that may not be null. */
final class MissingField {
    private static final String[] FIELDS = {"samePlace", "spread", "borrowedRigs"};

    private MissingField() {}

    public static void main(String[] args) {
        Site.main(args[0], MissingField::run);
    }

    private static String run(Site site) throws Exception {
        site.prepare();
        site.startAll();
        Site.Controller leader = site.awaitLeader(20);
        Http.Response whole = site.submit(leader, site.job("req-000001", "array", 2, 5));
        if (whole == null || whole.status != 201) throw new Site.NotRun("a complete submission is not accepted");
        // Fields that may be null may be omitted; the answer must be the same as with null.
        Map<String, Object> optional = site.job("req-000002", "array", 1, 5);
        for (String field : List.of("rigs", "hall", "closingS")) optional.remove(field);
        Http.Response accepted = site.submit(leader, optional);
        if (accepted == null || accepted.status != 201) throw new Site.NotRun("optional fields are not optional");
        List<String> wrong = new ArrayList<>();
        for (int i = 0; i < FIELDS.length; i++) {
            String id = "req-00001" + i;
            Map<String, Object> job = site.job(id, "array", 2, 5);
            if (site.trouble) job.remove(FIELDS[i]);
            Http.Response response = site.submit(leader, job);
            if (response == null) throw new Site.NotRun("no answer");
            int expected = site.trouble ? 400 : 201;
            if (response.status != expected) wrong.add("without " + FIELDS[i] + ": " + response.status);
        }
        if (!wrong.isEmpty()) Thread.sleep(12_000);
        for (int i = 0; i < FIELDS.length; i++) {
            if (site.starts.keySet().stream().anyMatch(("req-00001" + i + "/0")::equals) && site.trouble) {
                wrong.add("req-00001" + i + " runs");
            }
        }
        return wrong.isEmpty() ? null : "accepted though it lacks a field: " + wrong;
    }
}
