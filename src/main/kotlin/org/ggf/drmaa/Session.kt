// The DRMAA 1.0 Java binding published by the Open Grid Forum: its names and meaning, documented independently.
package org.ggf.drmaa

/** Submits jobs to the scheduler, controls them and waits for them. Thread-safe. */
@Suppress("TooManyFunctions")
public interface Session {
    /** Enters a session. [contact]: addresses and credentials of the scheduler; null or empty for the default. */
    @Throws(DrmaaException::class)
    public fun init(contact: String?)

    /** Leaves the session. Its jobs continue. */
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

    /** Waits until all have ended; [timeout] in seconds. With [dispose] their results are discarded. */
    @Throws(DrmaaException::class)
    public fun synchronize(jobIds: List<String>, timeout: Long, dispose: Boolean)

    /** Waits until a job, or with [JOB_IDS_SESSION_ANY] any, has ended, and takes its result; [timeout] in seconds. */
    @Throws(DrmaaException::class)
    public fun wait(jobId: String, timeout: Long): JobInfo

    @Throws(DrmaaException::class)
    public fun getJobProgramStatus(jobId: String): Int

    /**
     * The contact string of the active session, with which other programs can enter it, or else the default one.
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

/** The outcome of a job. */
public interface JobInfo {
    public fun getJobId(): String

    /** Resource usage of the job, by name. */
    @Throws(DrmaaException::class)
    public fun getResourceUsage(): Map<String, String>

    /** Whether the job ended by itself, so that [getExitStatus] is valid. */
    public fun hasExited(): Boolean

    public fun getExitStatus(): Int

    public fun hasSignaled(): Boolean

    public fun getTerminatingSignal(): String

    public fun hasCoreDump(): Boolean

    /** Whether the job ended before it was complete. */
    public fun wasAborted(): Boolean
}

/** Entry point for programs. */
public abstract class SessionFactory {
    public abstract fun getSession(): Session

    public companion object {
        private const val PROPERTY = "org.ggf.drmaa.SessionFactory"

        /** The factory named by the system property with this class's name, or else the default one of this library. */
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

/** Selects the streams of a job whose files the scheduler transfers. */
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
