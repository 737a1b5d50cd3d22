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

/** Further writes in the transaction that records a job, and preconditions for the whole transaction. */
public class ExtraWrites(public val conditions: List<Condition>, public val writes: List<Write>) {
    public companion object {
        public val NONE: ExtraWrites = ExtraWrites(emptyList(), emptyList())
    }
}

/** Provides the leader's usage account of a job. */
public fun interface AccountSource {
    /** The account of the job; null if the leader can't be reached. */
    public suspend fun of(spec: JobSpec): JobAccount?
}

/**
 * Submits, shows, cancels and releases jobs. Works on any node, whether it leads or not. Each change is recorded by a
 * conditional transaction before the request is answered. Any state that may still change is reported only after
 * [StateWatch.awaitFreshness], so an answer is never older than one that another node gave before.
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

    /** Submits a job from the body of a user's request. */
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
            JobCodec.decodeSubmission(body)
        } catch (e: MalformedJson) {
            // The repeated submission of an accepted job is not refused, even if its body is invalid.
            return acceptedBefore(JobCodec.id(body)) ?: JobResponse.Malformed(e.message.orEmpty())
        }
        return submit(spec)
    }

    /** Submits a job. [extra] contains additional fields of its record, which are stored without being interpreted. */
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

    /** Why the job must not be recorded, unless it has been recorded before; null if it may be recorded. */
    private suspend fun refusalToRecord(spec: JobSpec, encoded: Map<String, Any?>): JobResponse? = when {
        Json.bytes(encoded).size > policy.maxValueBytes -> JobResponse.Malformed("the job's record is too large")
        isOpenOrEnded(spec.id) -> STATE_UNDETERMINED
        jobProvider(spec.id) != null -> JobResponse.Malformed("id: this form is reserved for assigned ids")
        else -> refusal(spec) ?: JobResponse.Full.takeUnless { policy.admits(jobRegistry.footprint, spec) }
    }

    private suspend fun isOpenOrEnded(id: JobId): Boolean {
        val known = lookup(id)
        return known is JobLookup.Open || known is JobLookup.Ended
    }

    /** Why the job would be refused, independently of who submits it and how; null if it would not be. */
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

                is CommitOutcome.Conflict -> acceptedBefore(spec.id) ?: STATE_UNDETERMINED

                // If this attempt was executed after all, the next one conflicts with its record and changes nothing.
                CommitOutcome.Unknown -> null

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> WRITE_REFUSED
            }
        }
    }

    /** The answer to a repeated submission, or why it can't be given; null if there is no such job. */
    private suspend fun acceptedBefore(id: JobId): JobResponse? = when (val shown = show(id)) {
        is JobResponse.State -> JobResponse.Accepted(id, shown.status, isNew = false)
        JobResponse.Unknown -> null
        else -> shown
    }

    /** Returns the status of a job. */
    public suspend fun show(id: JobId): JobResponse {
        val final = (lookup(id) as? JobLookup.Ended)?.let { JobResponse.State(id, it.record.status()) }
        val answer = final ?: showByProvider(id)
        if (answer != null) return answer
        if (!stateWatch.awaitFreshness()) return STATE_SERVICE_UNAVAILABLE
        return when (val known = lookup(id)) {
            is JobLookup.Ended -> JobResponse.State(id, known.record.status())
            is JobLookup.Open -> JobResponse.State(id, known.status)
            JobLookup.Absent -> JobResponse.Unknown
            is JobLookup.Unknown -> showStored(id, known.epoch)
        }
    }

    /** Null if no provider knows the job: it may have been submitted by a user before its id's form had a provider. */
    private suspend fun showByProvider(id: JobId): JobResponse? {
        val provider = jobProvider(id) ?: return null
        if (lookup(id) is JobLookup.Open) return null
        return provider.show(id).takeIf { it != JobResponse.Unknown }
    }

    /** The status of a job that is not open, from its stored terminal record, which is not in the cache. */
    private suspend fun showStored(id: JobId, epoch: Int): JobResponse =
        when (val read = client.read(Keys.terminalRecord(id), RequestPriority.END)) {
            is ReadOutcome.Found -> {
                val record = TerminalRecord.decode(read.entry.value)
                if (record == null) {
                    JobResponse.NotNow("the job's terminal record is malformed")
                } else {
                    jobRegistry.tell(JobMessage.TerminalStateRecorded(id, record))
                    JobResponse.State(id, record.status())
                }
            }

            ReadOutcome.Absent -> {
                jobRegistry.tell(JobMessage.AbsenceConfirmed(id, epoch))
                JobResponse.Unknown
            }

            ReadOutcome.Unavailable -> STATE_SERVICE_UNAVAILABLE
        }

    /** Cancels a job. If the job has ended already, returns how it ended. */
    public suspend fun cancel(id: JobId): JobResponse {
        val cancellation = Cancellation(id)
        return withRetries { cancellation.attempt() }
    }

    /** One request to cancel a job, across its attempts. */
    private inner class Cancellation(private val id: JobId) {
        /** Whether an attempt got no response, so that it may have been executed. */
        private var unanswered = false

        /** The answer to the request; null if another attempt must be made. */
        suspend fun attempt(): JobResponse? {
            val answer = answerUnlessOpen()
            if (answer != null) return answer
            val open = lookup(id) as? JobLookup.Open ?: return null
            val account = accounts.of(open.spec) ?: JobAccount.unobserved(open.spec, wallClock.now())
            val record = TerminalRecord(TerminalState.CANCELLED, open.status.done, account)
            return when (commit(open, record)) {
                is CommitOutcome.Committed -> onCommitted(record)

                is CommitOutcome.Conflict -> STATE_SERVICE_UNAVAILABLE.takeUnless { stateWatch.awaitFreshness() }

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
                    // Most likely recorded by the unanswered attempt, so other nodes may not have learnt of it yet.
                    if (unanswered && known.record.state == TerminalState.CANCELLED) onCancelled(id, known.record)
                    JobResponse.State(id, known.record.status())
                }

                JobLookup.Absent, is JobLookup.Unknown -> jobProvider(id)?.cancel(id) ?: shown
            }
        }

        /** Which transaction creates the key of the terminal record decides whether the job is done or cancelled. */
        private suspend fun commit(open: JobLookup.Open, record: TerminalRecord): CommitOutcome = client.commit(
            listOf(Condition(Keys.terminalRecord(id), Revision.ABSENT), Condition(Keys.job(id), open.version)),
            listOfNotNull(
                Write.Put(Keys.terminalRecord(id), record.encode()),
                Write.Drop(Keys.job(id)),
                open.storedHold?.let { Write.Drop(Keys.hold(id)) },
            ),
            RequestPriority.RECORD,
        )

        private fun onCommitted(record: TerminalRecord): JobResponse {
            log.info("job cancelled job={}", id)
            jobRegistry.tell(JobMessage.TerminalStateRecorded(id, record))
            onCancelled(id, record)
            return JobResponse.State(id, record.status())
        }
    }

    /** Releases the hold of a job if [permitted] accepts it; [JobResponse.Unknown] if the job has no such hold. */
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
                STATE_SERVICE_UNAVAILABLE.takeUnless { stateWatch.awaitFreshness() }

            CommitOutcome.Refused, CommitOutcome.NoSuchLease -> WRITE_REFUSED
        }
    }

    /** What this node knows about a job, without querying the state service. */
    public suspend fun lookup(id: JobId): JobLookup {
        val reply = CompletableDeferred<JobLookup>()
        jobRegistry.tell(JobMessage.Lookup(id, reply))
        return reply.await()
    }

    /** Calls [attempt], up to [MAX_ATTEMPTS] times, until it returns an answer. */
    private inline fun withRetries(attempt: () -> JobResponse?): JobResponse {
        repeat(MAX_ATTEMPTS) {
            attempt()?.let { return it }
        }
        return STATE_SERVICE_UNAVAILABLE
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val STARTING = JobResponse.NotNow("starting")
        val STATE_UNDETERMINED = JobResponse.NotNow("the state of the job could not be determined")
        val STATE_SERVICE_UNAVAILABLE = JobResponse.NotNow("the state service doesn't answer")
        val WRITE_REFUSED = JobResponse.NotNow("the change can't be recorded at the moment")
    }
}
