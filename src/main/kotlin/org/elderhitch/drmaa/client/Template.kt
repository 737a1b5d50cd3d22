package org.elderhitch.drmaa.client

import org.ggf.drmaa.FileTransferMode
import org.ggf.drmaa.InvalidAttributeFormatException
import org.ggf.drmaa.InvalidAttributeValueException
import org.ggf.drmaa.InvalidJobTemplateException
import org.ggf.drmaa.JobTemplate
import org.ggf.drmaa.PartialTimestamp
import org.ggf.drmaa.UnsupportedAttributeException

/** A job template. Setters check whatever can be checked without a controller. */
@Suppress("TooManyFunctions")
internal class Template : JobTemplate {
    private var remoteCommand: String? = null
    private var args: List<String>? = null
    private var state = JobTemplate.ACTIVE_STATE
    private var environment: Map<String, String>? = null
    private var directory: String? = null
    private var category: String? = null
    private var native: String? = null
    private var email: Set<String>? = null
    private var blockEmail = false
    private var startTime: PartialTimestamp? = null
    private var deadline: PartialTimestamp? = null
    private var name: String? = null
    private var input: String? = null
    private var output: String? = null
    private var error: String? = null
    private var join = false
    private var softRunLimitS = 0L

    override fun setRemoteCommand(remoteCommand: String?) {
        this.remoteCommand = remoteCommand
    }

    override fun getRemoteCommand(): String? = remoteCommand

    override fun setArgs(args: List<String>?) {
        this.args = args?.toList()
    }

    override fun getArgs(): List<String>? = args

    override fun setJobSubmissionState(state: Int) {
        if (state != JobTemplate.HOLD_STATE && state != JobTemplate.ACTIVE_STATE) {
            throw InvalidAttributeValueException("jobSubmissionState: must be HOLD_STATE or ACTIVE_STATE")
        }
        this.state = state
    }

    override fun getJobSubmissionState(): Int = state

    override fun setJobEnvironment(env: Map<String, String>?) {
        environment = env?.toMap()
    }

    override fun getJobEnvironment(): Map<String, String>? = environment

    override fun setWorkingDirectory(wd: String?) {
        if (wd != null && !wd.startsWith("/") && !wd.startsWith(JobTemplate.HOME_DIRECTORY)) {
            throw InvalidAttributeFormatException(
                "workingDirectory: must be absolute or begin with the home directory placeholder",
            )
        }
        if (wd != null && JobTemplate.WORKING_DIRECTORY in wd) {
            throw InvalidAttributeFormatException(
                "workingDirectory: must not contain the working directory placeholder",
            )
        }
        checkPlaceholders("workingDirectory", wd)
        directory = wd
    }

    override fun getWorkingDirectory(): String? = directory

    override fun setJobCategory(category: String?) {
        this.category = category
    }

    override fun getJobCategory(): String? = category

    override fun setNativeSpecification(spec: String?) {
        native = spec
    }

    override fun getNativeSpecification(): String? = native

    override fun setEmail(email: Set<String>?) {
        email?.firstOrNull {
            '@' !in it
        }?.let { throw InvalidAttributeFormatException("email: \"$it\" is not an address") }
        this.email = email?.toSet()
    }

    override fun getEmail(): Set<String>? = email

    override fun setBlockEmail(blockEmail: Boolean) {
        this.blockEmail = blockEmail
    }

    override fun getBlockEmail(): Boolean = blockEmail

    override fun setStartTime(startTime: PartialTimestamp?) {
        this.startTime = startTime?.let { it.clone() as PartialTimestamp }
    }

    override fun getStartTime(): PartialTimestamp? = startTime

    override fun setJobName(name: String?) {
        if (name != null && !isJobName(name)) {
            throw InvalidAttributeValueException("jobName: letters, digits, _ - and . only, at most $MAX_NAME_LENGTH")
        }
        this.name = name
    }

    override fun getJobName(): String? = name

    private fun isJobName(text: String): Boolean =
        text.length in 1..MAX_NAME_LENGTH && text.all { it.isLetterOrDigit() || it in "_-." }

    override fun setInputPath(inputPath: String?) {
        input = checkedPath("inputPath", inputPath)
    }

    override fun getInputPath(): String? = input

    override fun setOutputPath(outputPath: String?) {
        output = checkedPath("outputPath", outputPath)
    }

    override fun getOutputPath(): String? = output

    override fun setErrorPath(errorPath: String?) {
        error = checkedPath("errorPath", errorPath)
    }

    override fun getErrorPath(): String? = error

    override fun setJoinFiles(join: Boolean) {
        this.join = join
    }

    override fun getJoinFiles(): Boolean = join

    override fun setTransferFiles(mode: FileTransferMode?): Unit = unsupported("transferFiles")

    override fun getTransferFiles(): FileTransferMode? = unsupported("transferFiles")

    override fun setDeadlineTime(deadline: PartialTimestamp?) {
        this.deadline = deadline?.let { it.clone() as PartialTimestamp }
    }

    override fun getDeadlineTime(): PartialTimestamp? = deadline

    // The scheduler enforces no limits, so setting one would have no effect. It only uses the soft run duration, as an
    // estimate.
    override fun setHardWallclockTimeLimit(hardWallclockLimit: Long): Unit = unsupported("hardWallclockTimeLimit")

    override fun getHardWallclockTimeLimit(): Long = unsupported("hardWallclockTimeLimit")

    override fun setSoftWallclockTimeLimit(softWallclockLimit: Long): Unit = unsupported("softWallclockTimeLimit")

    override fun getSoftWallclockTimeLimit(): Long = unsupported("softWallclockTimeLimit")

    override fun setHardRunDurationLimit(hardRunLimit: Long): Unit = unsupported("hardRunDurationLimit")

    override fun getHardRunDurationLimit(): Long = unsupported("hardRunDurationLimit")

    override fun setSoftRunDurationLimit(softRunLimit: Long) {
        if (softRunLimit < 0) throw InvalidAttributeValueException("softRunDurationLimit: must not be negative")
        softRunLimitS = softRunLimit
    }

    override fun getSoftRunDurationLimit(): Long = softRunLimitS

    override fun getAttributeNames(): Set<String> = ATTRIBUTE_NAMES

    private fun unsupported(attribute: String): Nothing =
        throw UnsupportedAttributeException("$attribute: not supported")

    private fun checkedPath(attribute: String, path: String?): String? {
        if (path == null) return null
        if (':' !in path) throw InvalidAttributeFormatException("$attribute: must have the form [HOST]:PATH")
        checkPlaceholders(attribute, path.substringAfter(':'))
        return path
    }

    private fun checkPlaceholders(attribute: String, path: String?) {
        for (placeholder in listOf(JobTemplate.HOME_DIRECTORY, JobTemplate.WORKING_DIRECTORY)) {
            if (path != null && path.lastIndexOf(placeholder) > 0) {
                throw InvalidAttributeFormatException("$attribute: $placeholder is only allowed at the beginning")
            }
        }
    }

    /**
     * The template's fields in a request. Partial times are resolved here, in the user's time zone. Throws
     * [InvalidJobTemplateException] if neither a command nor a category is set.
     */
    fun fields(): Map<String, Any?> {
        if (remoteCommand == null && category == null) {
            throw InvalidJobTemplateException("neither remoteCommand nor jobCategory is set")
        }
        return linkedMapOf(
            "command" to remoteCommand, "args" to args, "env" to environment, "directory" to directory, "name" to name,
            "input" to input, "output" to output, "error" to (if (join) null else error),
            "joinFiles" to (if (join) true else null),
            "email" to email?.toList(), "blockEmail" to (if (blockEmail) true else null), "category" to category,
            "native" to native,
            "hold" to (
                if (state == JobTemplate.HOLD_STATE) {
                    true
                } else {
                    null
                }
                ),
            "startAt" to startTime?.let { instantMs("startTime", it) },
            "deadlineAt" to deadline?.let { instantMs("deadlineTime", it) },
            "softRunS" to (if (softRunLimitS > 0) softRunLimitS else null),
        ).filterValues { it != null }
    }

    private fun instantMs(attribute: String, time: PartialTimestamp): Long = try {
        time.getTimeInMillis()
    } catch (e: IllegalArgumentException) {
        throw InvalidAttributeValueException("$attribute: ${e.message}").apply { initCause(e) }
    }

    private companion object {
        const val MAX_NAME_LENGTH = 1023
        val ATTRIBUTE_NAMES = setOf(
            "remoteCommand",
            "args",
            "jobSubmissionState",
            "jobEnvironment",
            "workingDirectory",
            "jobCategory",
            "nativeSpecification",
            "email",
            "blockEmail",
            "startTime",
            "jobName",
            "inputPath",
            "outputPath",
            "errorPath",
            "joinFiles",
            "deadlineTime",
            "softRunDurationLimit",
        )
    }
}
