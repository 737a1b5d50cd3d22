package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId

/** Names a DRMAA session. Derived from the nonce that its client sent, so that a repeated `open` opens it once. */
@JvmInline
public value class SessionName(public val text: String) : Comparable<SessionName> {
    override fun compareTo(other: SessionName): Int = text.compareTo(other.text)
    override fun toString(): String = text

    public companion object {
        public const val LENGTH: Int = 12
        private val PATTERN = Regex("[a-z0-9]{$LENGTH}")

        public fun parse(text: String): SessionName? = if (PATTERN.matches(text)) SessionName(text) else null
    }
}

/** Identifies one run of a client program; several may share a session. */
@JvmInline
public value class ClientTag(public val text: String) : Comparable<ClientTag> {
    override fun compareTo(other: ClientTag): Int = text.compareTo(other.text)
    override fun toString(): String = text

    public companion object {
        public const val LENGTH: Int = 8
        private val PATTERN = Regex("[a-z0-9]{$LENGTH}")

        public fun parse(text: String): ClientTag? = if (PATTERN.matches(text)) ClientTag(text) else null
    }
}

/** Identifies a client's request: a retry carries the same id and is carried out only once. */
public data class RequestId(val tag: ClientTag, val number: Int) {
    override fun toString(): String = "$tag-$number"

    public companion object {
        public fun parse(text: String): RequestId? {
            val tag = ClientTag.parse(text.substringBefore('-')) ?: return null
            return RequestId(
                tag,
                text.substringAfter('-', "").toIntOrNull()?.takeIf { it in 0..JobName.MAX_NUMBER } ?: return null,
            )
        }
    }
}

/**
 * The job that a client's request [number] submitted. Its id carries the session, the client and the number of members
 * of a bulk job, which therefore need no write to the state service and outlive the job's record.
 */
public data class JobName(val session: SessionName, val tag: ClientTag, val number: Int, val members: Int?) {
    public val id: JobId get() = JobId(toString())

    override fun toString(): String =
        "$PREFIX$session-$tag-${number.toString().padStart(DIGITS, '0')}" + (members?.let { "x$it" } ?: "")

    public companion object {
        public const val PREFIX: String = "req-d"
        public const val MAX_NUMBER: Int = 99_999_999
        private const val DIGITS = 8
        private val PATTERN =
            Regex(
                "$PREFIX([a-z0-9]{${SessionName.LENGTH}})-([a-z0-9]{${ClientTag.LENGTH}})-" +
                    "([0-9]{$DIGITS})(?:x([1-9][0-9]{0,5}))?",
            )

        /** Null for a job that no session submitted. */
        public fun parse(id: JobId): JobName? {
            if (!id.text.startsWith(PREFIX)) return null
            val (session, tag, number, members) = PATTERN.matchEntire(id.text)?.destructured ?: return null
            val count = if (members.isEmpty()) {
                null
            } else {
                members.toInt().takeIf { it <= JobCodec.MAX_TASKS }
                    ?: return null
            }
            return JobName(SessionName(session), ClientTag(tag), number.toInt(), count)
        }
    }
}

/** A result that a client waits for and takes once: of a job, or of a member of a bulk job. */
public data class ResultName(val job: JobName, val member: Int?) {
    override fun toString(): String = if (member == null) job.toString() else "$job/$member"

    /** The block of results that this one belongs to; each block is one value in the state service. */
    public val block: ReapKey
        get() = if (member == null) {
            ReapKey(job.session, job.tag, null, CompletedTasks.blockOf(job.number))
        } else {
            ReapKey(job.session, job.tag, job.number, CompletedTasks.blockOf(member))
        }

    /** Index within the block. */
    public val place: Int get() = (member ?: job.number) % CompletedTasks.BLOCK_SIZE

    public companion object {
        public fun parse(text: String): ResultName? {
            val job = JobId.parse(text.substringBefore('/'))?.let(JobName::parse) ?: return null
            if ('/' !in text) return if (job.members == null) ResultName(job, null) else null
            val member = text.substringAfter('/').toIntOrNull() ?: return null
            return if (job.members != null && member in 0 until job.members) ResultName(job, member) else null
        }
    }
}

/** Key of a block that records which results of a client, or with [bulk] of that bulk job's members, were taken. */
public data class ReapKey(val session: SessionName, val tag: ClientTag, val bulk: Int?, val block: Int) {
    override fun toString(): String = "$PREFIX$session/$tag" + (bulk?.let { ".$it" } ?: "") + "/$block"

    public companion object {
        private const val PREFIX = "v/drmaa/r/"
        private const val PART_COUNT = 3

        public fun prefix(session: SessionName): String = "$PREFIX$session/"

        public fun parse(key: String): ReapKey? {
            val parts = key.removePrefix(PREFIX).split('/')
            if (!key.startsWith(PREFIX) || parts.size != PART_COUNT) return null
            val session = SessionName.parse(parts[0]) ?: return null
            val tag = ClientTag.parse(parts[1].substringBefore('.')) ?: return null
            val bulk = if ('.' in parts[1]) parts[1].substringAfter('.').toIntOrNull() ?: return null else null
            return parts[2].toIntOrNull()?.takeIf { it >= 0 }?.let { ReapKey(session, tag, bulk, it) }
        }
    }
}

/** The other keys of DRMAA in the state service. */
public object DrmaaKeys {
    private const val SESSION = "v/a/drmaa/s/"
    private const val HELD = "v/a/drmaa/h/"
    private const val CLOSED = "v/drmaa/x/"

    public fun session(name: SessionName): String = SESSION + name

    public fun held(job: JobName): String = HELD + job

    public fun closed(name: SessionName): String = CLOSED + name

    public fun sessionOf(key: String): SessionName? =
        if (key.startsWith(SESSION)) SessionName.parse(key.substring(SESSION.length)) else null

    public fun heldOf(key: String): JobName? =
        if (key.startsWith(HELD)) JobId.parse(key.substring(HELD.length))?.let(JobName::parse) else null

    public const val ALL_CLOSED: String = CLOSED

    public fun closedOf(key: String): SessionName? =
        if (key.startsWith(CLOSED)) SessionName.parse(key.substring(CLOSED.length)) else null

    /** Prefix of the terminal records of a session's jobs. */
    public fun endings(name: SessionName): String = "v/z/end/${JobName.PREFIX}$name-"
}
