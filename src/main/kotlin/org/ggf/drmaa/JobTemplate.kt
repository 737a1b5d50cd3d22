// The DRMAA 1.0 Java binding published by the Open Grid Forum: its names and meaning, documented independently.
package org.ggf.drmaa

/** Describes a job to submit. Attributes that are not set are null or have the default of their type. */
@Suppress("TooManyFunctions")
public interface JobTemplate {
    @Throws(DrmaaException::class)
    public fun setRemoteCommand(remoteCommand: String?)

    @Throws(DrmaaException::class)
    public fun getRemoteCommand(): String?

    @Throws(DrmaaException::class)
    public fun setArgs(args: List<String>?)

    @Throws(DrmaaException::class)
    public fun getArgs(): List<String>?

    /** [HOLD_STATE] or [ACTIVE_STATE]. */
    @Throws(DrmaaException::class)
    public fun setJobSubmissionState(state: Int)

    @Throws(DrmaaException::class)
    public fun getJobSubmissionState(): Int

    @Throws(DrmaaException::class)
    public fun setJobEnvironment(env: Map<String, String>?)

    @Throws(DrmaaException::class)
    public fun getJobEnvironment(): Map<String, String>?

    @Throws(DrmaaException::class)
    public fun setWorkingDirectory(wd: String?)

    @Throws(DrmaaException::class)
    public fun getWorkingDirectory(): String?

    @Throws(DrmaaException::class)
    public fun setJobCategory(category: String?)

    @Throws(DrmaaException::class)
    public fun getJobCategory(): String?

    @Throws(DrmaaException::class)
    public fun setNativeSpecification(spec: String?)

    @Throws(DrmaaException::class)
    public fun getNativeSpecification(): String?

    @Throws(DrmaaException::class)
    public fun setEmail(email: Set<String>?)

    @Throws(DrmaaException::class)
    public fun getEmail(): Set<String>?

    @Throws(DrmaaException::class)
    public fun setBlockEmail(blockEmail: Boolean)

    @Throws(DrmaaException::class)
    public fun getBlockEmail(): Boolean

    @Throws(DrmaaException::class)
    public fun setStartTime(startTime: PartialTimestamp?)

    @Throws(DrmaaException::class)
    public fun getStartTime(): PartialTimestamp?

    @Throws(DrmaaException::class)
    public fun setJobName(name: String?)

    @Throws(DrmaaException::class)
    public fun getJobName(): String?

    @Throws(DrmaaException::class)
    public fun setInputPath(inputPath: String?)

    @Throws(DrmaaException::class)
    public fun getInputPath(): String?

    @Throws(DrmaaException::class)
    public fun setOutputPath(outputPath: String?)

    @Throws(DrmaaException::class)
    public fun getOutputPath(): String?

    @Throws(DrmaaException::class)
    public fun setErrorPath(errorPath: String?)

    @Throws(DrmaaException::class)
    public fun getErrorPath(): String?

    @Throws(DrmaaException::class)
    public fun setJoinFiles(join: Boolean)

    @Throws(DrmaaException::class)
    public fun getJoinFiles(): Boolean

    /** Optional. */
    @Throws(DrmaaException::class)
    public fun setTransferFiles(mode: FileTransferMode?)

    @Throws(DrmaaException::class)
    public fun getTransferFiles(): FileTransferMode?

    /** Optional. */
    @Throws(DrmaaException::class)
    public fun setDeadlineTime(deadline: PartialTimestamp?)

    @Throws(DrmaaException::class)
    public fun getDeadlineTime(): PartialTimestamp?

    /** Optional; in seconds, as the other three limits. */
    @Throws(DrmaaException::class)
    public fun setHardWallclockTimeLimit(hardWallclockLimit: Long)

    @Throws(DrmaaException::class)
    public fun getHardWallclockTimeLimit(): Long

    @Throws(DrmaaException::class)
    public fun setSoftWallclockTimeLimit(softWallclockLimit: Long)

    @Throws(DrmaaException::class)
    public fun getSoftWallclockTimeLimit(): Long

    @Throws(DrmaaException::class)
    public fun setHardRunDurationLimit(hardRunLimit: Long)

    @Throws(DrmaaException::class)
    public fun getHardRunDurationLimit(): Long

    @Throws(DrmaaException::class)
    public fun setSoftRunDurationLimit(softRunLimit: Long)

    @Throws(DrmaaException::class)
    public fun getSoftRunDurationLimit(): Long

    /** Names of the attributes that this implementation supports. */
    public fun getAttributeNames(): Set<String>

    public companion object {
        public const val HOLD_STATE: Int = 0
        public const val ACTIVE_STATE: Int = 1

        /** At the beginning of a path: the home directory of the user on the machine. */
        public const val HOME_DIRECTORY: String = "\$drmaa_hd_ph\$"

        /** At the beginning of a path: the working directory of the job. */
        public const val WORKING_DIRECTORY: String = "\$drmaa_wd_ph\$"

        /** In the paths of a bulk job: the index of the member. */
        public const val PARAMETRIC_INDEX: String = "\$drmaa_incr_ph\$"
    }
}
