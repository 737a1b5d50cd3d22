package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.StateWatch
import org.elderhitch.store.Write
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory

/** What is recorded in one transaction with a job, and the conditions on which both depend. */
public class ExtraWrites(public val conditions: List<Condition>, public val writes: List<Write>) {
    public companion object {
        public val NONE: ExtraWrites = ExtraWrites(emptyList(), emptyList())
    }
}

/** The leader's usage account of a job. */
public fun interface AccountSource {
    /** Null: the leader can't be asked. */
    public suspend fun of(spec: JobSpec): JobAccount?
}

/**
 * Submits, shows, cancels and releases jobs, on any node, leader or not. Each change is written conditionally, and
 * before it is answered. An answer that may still change is given only after [StateWatch.awaitFreshness], so it is
 * never older than an answer that another node gave before.
 */
public class JobService(
    private val jobRegistry: JobRegistry,
    private val stateWatch: StateWatch,
    private val client: StateClient,
    private val policy: SubmissionPolicy,
    private val wallClock: WallClock,
    private val accounts: AccountSource = AccountSource { null },
    private val jobProvider: (JobId) -> JobProvider? = { null },
    /** Called with each cancellation that this node has recorded. */
    private val onCancelled: (JobId, TerminalRecord) -> Unit = { _, _ -> },
) {
    private val log = LoggerFactory.getLogger("elderhitch.jobs")

    /** Submits a job as a user sent it. */
    public suspend fun submit(bytes: ByteArray): JobResponse {
        val body = try {
            Json.parseObject(bytes).also(JobCodec::id)
        } catch (e: MalformedJson) {
            return JobResponse.Malformed(e.message.orEmpty())
        }
        return if (stateWatch.loaded) submit(body) else STARTING
    }

    private suspend fun submit(body: JsonObject): JobResponse {
        val spec = try {
            JobCodec.decode(body)
        } catch (e: MalformedJson) {
            // A job that was accepted is never refused, whatever a repeated submission looks like.
            return acceptedBefore(JobCodec.id(body)) ?: JobResponse.Malformed(e.message.orEmpty())
        }
        return submit(spec)
    }

    /** Submits a job. [extra]: fields that are stored in its record and have no meaning here. */
    public suspend fun submit(
        spec: JobSpec,
        extra: Map<String, Any?> = emptyMap(),
        extraWrites: ExtraWrites = ExtraWrites.NONE,
    ): JobResponse {
        if (!stateWatch.loaded) return STARTING
        val encoded = JobCodec.encode(spec) + extra
        val refusal = refusalToRecord(spec, encoded) ?: return record(spec, encoded, extraWrites)
        return acceptedBefore(spec.id) ?: refusal
    }

    /** Why the job is not to be recorded, unless it was before; null: it is to be recorded. */
    private suspend fun refusalToRecord(spec: JobSpec, encoded: Map<String, Any?>): JobResponse? = when {
        Json.bytes(encoded).size > policy.maxValueBytes -> JobResponse.Malformed("the job's fields are too long")
        isOpenOrEnded(spec.id) -> STATE_UNCLEAR
        jobProvider(spec.id) != null -> JobResponse.Malformed("id: of a form that is given and not chosen")
        else -> refusal(spec) ?: JobResponse.Full.takeUnless { policy.admits(jobRegistry.footprint, spec) }
    }

    private suspend fun isOpenOrEnded(id: JobId): Boolean {
        val known = lookup(id)
        return known is JobLookup.Open || known is JobLookup.Ended
    }

    /** Why the job would be refused, whoever submits it and in whatever way; null: it would not. */
    public suspend fun refusal(spec: JobSpec): JobResponse? =
        policy.refusal(spec) ?: spec.repeatOf?.let { repeatRefusal(spec, it) }

    private suspend fun repeatRefusal(spec: JobSpec, earlier: JobId): JobResponse? = when (val shown = show(earlier)) {
        JobResponse.Unknown -> JobResponse.NeverRuns("repeatOf: no such job")

        is JobResponse.State -> {
            val jobClass = when (val known = lookup(earlier)) {
                is JobLookup.Open -> known.spec.jobClass
                is JobLookup.Ended -> known.record.account?.jobClass
                else -> null
            }
            if (jobClass == null || jobClass == spec.jobClass) {
                null
            } else {
                JobResponse.NeverRuns("repeatOf: a job of class $jobClass")
            }
        }

        else -> shown
    }

    private suspend fun record(spec: JobSpec, encoded: Map<String, Any?>, extraWrites: ExtraWrites): JobResponse {
        val conditions = listOf(
            Condition(Keys.job(spec.id), Revision.ABSENT),
            Condition(Keys.terminalRecord(spec.id), Revision.ABSENT),
        ) + extraWrites.conditions
        val writes = listOf(Write.Put(Keys.job(spec.id), encoded)) + extraWrites.writes
        return withRetries {
            when (val outcome = client.commit(conditions, writes, RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> {
                    jobRegistry.tell(JobMessage.Recorded(spec, outcome.revision))
                    JobResponse.Accepted(spec.id, JobStatus.open(0, 0), isNew = true)
                }

                is CommitOutcome.Conflict -> acceptedBefore(spec.id) ?: STATE_UNCLEAR

                // If this attempt was executed after all, the next one finds the record and changes nothing.
                CommitOutcome.Unknown -> null

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> WRITE_REFUSED
            }
        }
    }

    /** The answer to a repeated submission, or why there is none; null: no such job is known. */
    private suspend fun acceptedBefore(id: JobId): JobResponse? = when (val shown = show(id)) {
        is JobResponse.State -> JobResponse.Accepted(id, shown.status, isNew = false)
        JobResponse.Unknown -> null
        else -> shown
    }

    /** How a job stands. */
    public suspend fun show(id: JobId): JobResponse {
        val final = (lookup(id) as? JobLookup.Ended)?.let { JobResponse.State(id, it.record.status()) }
        val answer = final ?: showByProvider(id)
        if (answer != null) return answer
        if (!stateWatch.awaitFreshness()) return STORE_UNAVAILABLE
        return when (val known = lookup(id)) {
            is JobLookup.Ended -> JobResponse.State(id, known.record.status())
            is JobLookup.Open -> JobResponse.State(id, known.status)
            JobLookup.Absent -> JobResponse.Unknown
            is JobLookup.Unknown -> showStored(id, known.epoch)
        }
    }

    /** Null for an id that no provider knows: a job may have been submitted under it before there was a provider. */
    private suspend fun showByProvider(id: JobId): JobResponse? {
        val provider = jobProvider(id) ?: return null
        if (lookup(id) is JobLookup.Open) return null
        return provider.show(id).takeIf { it != JobResponse.Unknown }
    }

    /** How a job stands that is not open: by its terminal record, which is not cached here. */
    private suspend fun showStored(id: JobId, epoch: Int): JobResponse =
        when (val read = client.read(Keys.terminalRecord(id), RequestPriority.END)) {
            is ReadOutcome.Found -> {
                val record = TerminalRecord.decode(read.entry.value)
                if (record == null) {
                    JobResponse.NotNow("the job's ending can't be read")
                } else {
                    jobRegistry.tell(JobMessage.TerminalStateRecorded(id, record))
                    JobResponse.State(id, record.status())
                }
            }

            ReadOutcome.Absent -> {
                jobRegistry.tell(JobMessage.AbsenceConfirmed(id, epoch))
                JobResponse.Unknown
            }

            ReadOutcome.Unavailable -> STORE_UNAVAILABLE
        }

    /** Cancels a job; the answer to a job that has ended is how it ended. */
    public suspend fun cancel(id: JobId): JobResponse {
        val cancellation = Cancellation(id)
        return withRetries { cancellation.attempt() }
    }

    /** One request to cancel a job, over its attempts. */
    private inner class Cancellation(private val id: JobId) {
        /** Whether an attempt got no response: it may have been executed. */
        private var unanswered = false

        /** Null: to be attempted again. */
        suspend fun attempt(): JobResponse? {
            val answer = answerUnlessOpen()
            if (answer != null) return answer
            val open = lookup(id) as? JobLookup.Open ?: return null
            val account = accounts.of(open.spec) ?: JobAccount.unobserved(open.spec, wallClock.now())
            val record = TerminalRecord(TerminalState.CANCELLED, open.status.done, account)
            return when (commit(open, record)) {
                is CommitOutcome.Committed -> committed(record)

                is CommitOutcome.Conflict -> STORE_UNAVAILABLE.takeUnless { stateWatch.awaitFreshness() }

                CommitOutcome.Unknown -> {
                    unanswered = true
                    null
                }

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> WRITE_REFUSED
            }
        }

        private suspend fun answerUnlessOpen(): JobResponse? {
            if (lookup(id) is JobLookup.Open) return null
            val shown = show(id)
            if (shown !is JobResponse.State) return shown
            return when (val known = lookup(id)) {
                is JobLookup.Open -> null

                is JobLookup.Ended -> {
                    // Most likely recorded by the unanswered attempt: other nodes may learn of it as late as this one.
                    if (unanswered && known.record.state == TerminalState.CANCELLED) onCancelled(id, known.record)
                    JobResponse.State(id, known.record.status())
                }

                JobLookup.Absent, is JobLookup.Unknown -> jobProvider(id)?.cancel(id) ?: shown
            }
        }

        /** Whoever creates the key of the terminal record decides whether the job is done or cancelled. */
        private suspend fun commit(open: JobLookup.Open, record: TerminalRecord): CommitOutcome = client.commit(
            listOf(Condition(Keys.terminalRecord(id), Revision.ABSENT), Condition(Keys.job(id), open.version)),
            listOfNotNull(
                Write.Put(Keys.terminalRecord(id), record.encode()),
                Write.Drop(Keys.job(id)),
                open.storedHold?.let { Write.Drop(Keys.hold(id)) },
            ),
            RequestPriority.RECORD,
        )

        private fun committed(record: TerminalRecord): JobResponse {
            log.info("job cancelled job={}", id)
            jobRegistry.tell(JobMessage.TerminalStateRecorded(id, record))
            onCancelled(id, record)
            return JobResponse.State(id, record.status())
        }
    }

    /** Releases a job's hold if it is one that [permitted] accepts; [JobResponse.Unknown] if there is none such. */
    public suspend fun release(id: JobId, permitted: (JobHold) -> Boolean): JobResponse =
        withRetries { attemptRelease(id, permitted) }

    private suspend fun attemptRelease(id: JobId, permitted: (JobHold) -> Boolean): JobResponse? {
        val shown = show(id)
        if (shown !is JobResponse.State) return shown
        val open = lookup(id) as? JobLookup.Open
        val hold = open?.hold?.takeIf(permitted) ?: return JobResponse.Unknown
        val outcome = client.commit(
            listOf(Condition(Keys.hold(id), hold.version)),
            listOf(Write.Put(Keys.hold(id), JobHold.of(HoldKind.RELEASED, hold.reason).encode())),
            RequestPriority.RECORD,
        )
        return when (outcome) {
            is CommitOutcome.Committed -> JobResponse.State(id, open.status)

            is CommitOutcome.Conflict, CommitOutcome.Unknown ->
                STORE_UNAVAILABLE.takeUnless { stateWatch.awaitFreshness() }

            CommitOutcome.Refused, CommitOutcome.NoSuchLease -> WRITE_REFUSED
        }
    }

    /** What is known about a job on this node, without asking the state service. */
    public suspend fun lookup(id: JobId): JobLookup {
        val reply = CompletableDeferred<JobLookup>()
        jobRegistry.tell(JobMessage.Lookup(id, reply))
        return reply.await()
    }

    /** Repeats [attempt], up to [MAX_ATTEMPTS] times, until it has an answer. */
    private inline fun withRetries(attempt: () -> JobResponse?): JobResponse {
        repeat(MAX_ATTEMPTS) {
            attempt()?.let { return it }
        }
        return STORE_UNAVAILABLE
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val STARTING = JobResponse.NotNow("starting")
        val STATE_UNCLEAR = JobResponse.NotNow("state unclear")
        val STORE_UNAVAILABLE = JobResponse.NotNow("the state service doesn't answer")
        val WRITE_REFUSED = JobResponse.NotNow("the state service takes no record now")
    }
}
