import java.util.Collections;
import java.util.List;
import org.ggf.drmaa.DrmaaException;
import org.ggf.drmaa.JobInfo;
import org.ggf.drmaa.JobTemplate;
import org.ggf.drmaa.Session;
import org.ggf.drmaa.SessionFactory;

/** A program against the published binding: a bulk job, a job that is cancelled, and a wait for all of them. */
public class DrmaaSorting {
    public static void main(String[] args) throws DrmaaException {
        int members = args.length > 0 ? Integer.parseInt(args[0]) : 4;
        Session session = SessionFactory.getFactory().getSession();
        session.init("");
        System.out.println(session.getDrmSystem() + ", DRMAA " + session.getVersion());

        JobTemplate sorting = session.createJobTemplate();
        sorting.setJobCategory("photo-sort");
        sorting.setArgs(Collections.singletonList("--lot=" + JobTemplate.PARAMETRIC_INDEX));
        List<String> bulk = session.runBulkJobs(sorting, 1, members, 1);
        System.out.println("submitted " + bulk.size() + " members, the first is " + bulk.get(0));

        JobTemplate scoring = session.createJobTemplate();
        scoring.setJobCategory("photo-sort");
        scoring.setNativeSpecification("haulS=3600");
        String cancelled = session.runJob(scoring);
        session.control(cancelled, Session.TERMINATE);

        int done = 0;
        int aborted = 0;
        for (int n = 0; n < members + 1; n++) {
            JobInfo info = session.wait(Session.JOB_IDS_SESSION_ANY, 600);
            if (info.wasAborted()) aborted++; else done++;
            if (n < 3) System.out.println(info.getJobId() + (info.wasAborted() ? " aborted " : " done ") + info.getResourceUsage());
        }
        System.out.println(done + " done, " + aborted + " aborted");
        session.deleteJobTemplate(sorting);
        session.deleteJobTemplate(scoring);
        session.exit();
        if (done != members || aborted != 1) System.exit(1);
    }
}
