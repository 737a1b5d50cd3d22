// The DRMAA 1.0 Java binding as the Open Grid Forum published it: names and meanings, in a text of our own.
package org.ggf.drmaa

/** A program's way to the scheduler: submits jobs, controls them, and waits for them. Safe for several threads. */
@Suppress("TooManyFunctions")
public interface Session {
    /** Enters a session. [contact]: where, and by which right; null or empty: the default. */
    @Throws(DrmaaException::class)
    public fun init(contact: String?)

    /** Leaves the session. Jobs go on. */
    @Throws(DrmaaException::class)
    public fun exit()

    @Throws(DrmaaException::class)
    public fun createJobTemplate(): JobTemplate

    @Throws(DrmaaException::class)
    public fun deleteJobTemplate(jobTemplate: JobTemplate)

    /** Submits a job; returns its id. */
    @Throws(DrmaaException::class)
    public fun runJob(jobTemplate: JobTemplate): String

    /** Submits a job for each of `start, start + incr, …` up to [end]; returns their ids in that order. */
    @Throws(DrmaaException::class)
    public fun runBulkJobs(jobTemplate: JobTemplate, start: Int, end: Int, incr: Int): List<String>

    /** [action]: [SUSPEND], [RESUME], [HOLD], [RELEASE] or [TERMINATE]; [jobId] may be [JOB_IDS_SESSION_ALL]. */
    @Throws(DrmaaException::class)
    public fun control(jobId: String, action: Int)

    /** Waits until all have ended; [timeout] in seconds. With [dispose] nobody can wait for them afterwards. */
    @Throws(DrmaaException::class)
    public fun synchronize(jobIds: List<String>, timeout: Long, dispose: Boolean)

    /** Waits until a job, or with [JOB_IDS_SESSION_ANY] any, has ended, and takes its result; [timeout] in seconds. */
    @Throws(DrmaaException::class)
    public fun wait(jobId: String, timeout: Long): JobInfo

    @Throws(DrmaaException::class)
    public fun getJobProgramStatus(jobId: String): Int

    /**
     * The session's contact string while one is active, with which other programs can enter it; else the default ones.
     */
    public fun getContact(): String

    public fun getVersion(): Version

    public fun getDrmSystem(): String

    public fun getDrmaaImplementation(): String

    public companion object {
        public const val SUSPEND: Int = 0
        public const val RESUME: Int = 1
        public const val HOLD: Int = 2
        public const val RELEASE: Int = 3
        public const val TERMINATE: Int = 4

        public const val JOB_IDS_SESSION_ALL: String = "DRMAA_JOB_IDS_SESSION_ALL"
        public const val JOB_IDS_SESSION_ANY: String = "DRMAA_JOB_IDS_SESSION_ANY"

        public const val TIMEOUT_WAIT_FOREVER: Long = -1
        public const val TIMEOUT_NO_WAIT: Long = 0

        public const val UNDETERMINED: Int = 0x00
        public const val QUEUED_ACTIVE: Int = 0x10
        public const val SYSTEM_ON_HOLD: Int = 0x11
        public const val USER_ON_HOLD: Int = 0x12
        public const val USER_SYSTEM_ON_HOLD: Int = 0x13
        public const val RUNNING: Int = 0x20
        public const val SYSTEM_SUSPENDED: Int = 0x21
        public const val USER_SUSPENDED: Int = 0x22
        public const val USER_SYSTEM_SUSPENDED: Int = 0x23
        public const val DONE: Int = 0x30
        public const val FAILED: Int = 0x40
    }
}

/** What became of a job. */
public interface JobInfo {
    public fun getJobId(): String

    /** What was counted of the job's work, by name. */
    @Throws(DrmaaException::class)
    public fun getResourceUsage(): Map<String, String>

    /** It ended by itself, and [getExitStatus] tells how. */
    public fun hasExited(): Boolean

    public fun getExitStatus(): Int

    public fun hasSignaled(): Boolean

    public fun getTerminatingSignal(): String

    public fun hasCoreDump(): Boolean

    /** It ended without having run to its end. */
    public fun wasAborted(): Boolean
}

/** Where programs begin. */
public abstract class SessionFactory {
    public abstract fun getSession(): Session

    public companion object {
        private const val PROPERTY = "org.ggf.drmaa.SessionFactory"

        /** The factory that the system property of this class's name names, else the one of this library. */
        @JvmStatic
        public fun getFactory(): SessionFactory {
            val named = System.getProperty(PROPERTY) ?: "org.elderhitch.drmaa.client.ClientSessionFactory"
            return try {
                Class.forName(named).getDeclaredConstructor().newInstance() as SessionFactory
            } catch (e: ReflectiveOperationException) {
                throw IllegalStateException("no session factory $named", e)
            }
        }
    }
}

/** A version of the specification. */
public class Version(private val major: Int, private val minor: Int) :
    Cloneable,
    java.io.Serializable,
    Comparable<Version> {
    public fun getMajor(): Int = major

    public fun getMinor(): Int = minor

    override fun compareTo(other: Version): Int = compareValuesBy(this, other, { it.major }, { it.minor })

    override fun equals(other: Any?): Boolean = other is Version && major == other.major && minor == other.minor

    override fun hashCode(): Int = major * HASH + minor

    override fun toString(): String = "$major.$minor"

    public override fun clone(): Any = Version(major, minor)

    private companion object {
        const val HASH = 31
        const val serialVersionUID = 1L
    }
}

/** Which of a job's streams are files that the scheduler would transfer. */
public class FileTransferMode @JvmOverloads constructor(
    private var inputStream: Boolean = false,
    private var outputStream: Boolean = false,
    private var errorStream: Boolean = false,
) : Cloneable,
    java.io.Serializable {
    public fun getInputStream(): Boolean = inputStream

    public fun setInputStream(inputStream: Boolean) {
        this.inputStream = inputStream
    }

    public fun getOutputStream(): Boolean = outputStream

    public fun setOutputStream(outputStream: Boolean) {
        this.outputStream = outputStream
    }

    public fun getErrorStream(): Boolean = errorStream

    public fun setErrorStream(errorStream: Boolean) {
        this.errorStream = errorStream
    }

    private val bits: Int get() = (if (inputStream) 1 else 0) + (if (outputStream) 2 else 0) +
        (if (errorStream) ERROR else 0)

    override fun equals(other: Any?): Boolean = other is FileTransferMode && bits == other.bits

    override fun hashCode(): Int = bits

    override fun toString(): String =
        (if (errorStream) "e" else "") + (if (inputStream) "i" else "") + (if (outputStream) "o" else "")

    public override fun clone(): Any = FileTransferMode(inputStream, outputStream, errorStream)

    private companion object {
        const val ERROR = 4
        const val serialVersionUID = 1L
    }
}
