package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
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

/** What is recorded in one transaction with a job, and only if these hold too. */
public class ExtraWrites(public val conditions: List<Condition>, public val writes: List<Write>) {
    public companion object {
        public val NOTHING: ExtraWrites = ExtraWrites(emptyList(), emptyList())
    }
}

/** What the leader has seen of a job's work; null: it can't be asked. */
public fun interface AccountSource {
    public suspend fun of(spec: JobSpec): JobAccount?
}

/** What machines exist in principle; null until the cloud has said. */
public fun interface MachineCatalogView {
    public fun canEverRun(spec: JobSpec): Boolean?
}

/**
 * Records jobs and withdrawals on any node, leader or not: conditionally, and before anybody is told. An answer that is
 * not final is given only after [StateWatch.sync], so it is never older than one that another node gave.
 */
public class JobService(
    private val jobRegistry: JobRegistry,
    private val stateWatch: StateWatch,
    private val client: StateClient,
    private val teams: Map<TeamName, Team>,
    private val catalogue: MachineCatalogView,
    private val valueBytes: Int,
    private val wallClock: WallClock,
    private val accounts: AccountSource = AccountSource { null },
    private val rules: ClassRules = ClassRules.NONE,
    private val admission: Admission? = null,
    private val jobProvider: (JobId) -> JobProvider? = { null },
    /** Told of each withdrawal that this node has recorded. */
    private val onCancelled: (JobId, TerminalRecord) -> Unit = { _, _ -> },
) {
    private val log = LoggerFactory.getLogger("elderhitch.jobs")

    public suspend fun submit(bytes: ByteArray): JobResponse {
        val body: JsonObject
        val id: JobId
        try {
            body = Json.parseObject(bytes)
            id = JobCodec.id(body)
        } catch (e: MalformedJson) {
            return JobResponse.Malformed(e.message.orEmpty())
        }
        if (!stateWatch.loaded) return JobResponse.NotNow("starting")
        val spec = try {
            JobCodec.decode(body)
        } catch (e: MalformedJson) {
            // An accepted job is never refused, whatever a repeat of it looks like.
            return known(id, orElse = JobResponse.Malformed(e.message.orEmpty()))
        }
        return submit(spec)
    }

    /** [extra]: fields that are kept in the job's record and mean nothing here. */
    public suspend fun submit(
        spec: JobSpec,
        extra: Map<String, Any?> = emptyMap(),
        beside: ExtraWrites = ExtraWrites.NOTHING,
    ): JobResponse {
        if (!stateWatch.loaded) return JobResponse.NotNow("starting")
        val id = spec.id
        val encoded = JobCodec.encode(spec) + extra
        if (Json.bytes(encoded).size >
            valueBytes
        ) {
            return known(id, orElse = JobResponse.Malformed("the job's fields are too long"))
        }
        if (lookup(id).let {
                it is JobLookup.Open || it is JobLookup.Ended
            }
        ) {
            return known(id, orElse = JobResponse.NotNow("state unclear"))
        }
        if (jobProvider(id) !=
            null
        ) {
            return known(id, orElse = JobResponse.Malformed("id: of a form that is given and not chosen"))
        }
        refusal(spec)?.let { return known(id, orElse = it) }
        if (admission?.admits(jobRegistry.footprint, spec) == false) return known(id, orElse = JobResponse.Full)
        return record(spec, encoded, beside)
    }

    /** Why the job would be refused, whoever submits it and by whatever way; null: it would not. */
    public suspend fun refusal(spec: JobSpec): JobResponse? =
        neverRuns(spec) ?: spec.repeatOf?.let { badRepeat(spec, it) }

    private suspend fun badRepeat(spec: JobSpec, earlier: JobId): JobResponse? = when (val shown = show(earlier)) {
        JobResponse.Unknown -> JobResponse.NeverRuns("repeatOf: no such job")

        is JobResponse.State -> {
            val known = lookup(earlier)
            val jobClass =
                (known as? JobLookup.Open)?.spec?.jobClass ?: (known as? JobLookup.Ended)?.record?.account?.jobClass
            if (jobClass == null ||
                jobClass == spec.jobClass
            ) {
                null
            } else {
                JobResponse.NeverRuns("repeatOf: a job of class $jobClass")
            }
        }

        else -> shown
    }

    private fun neverRuns(spec: JobSpec): JobResponse? {
        rules.deniesRepeat(spec)?.let { return JobResponse.NeverRuns(it) }
        val team = teams[spec.team] ?: return JobResponse.NeverRuns("desk: unknown team")
        val atOnce = spec.resources * if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        if (team.mostCpus != null &&
            atOnce.cpus > team.mostCpus ||
            team.mostGpus != null &&
            atOnce.gpus > team.mostGpus
        ) {
            return JobResponse.NeverRuns("more than the team's limit")
        }
        return when (catalogue.canEverRun(spec)) {
            true -> null
            false -> JobResponse.NeverRuns("a task fits no allowed machine type")
            null -> JobResponse.NotNow("machine types not known yet")
        }
    }

    private suspend fun record(spec: JobSpec, encoded: Map<String, Any?>, beside: ExtraWrites): JobResponse {
        val conditions =
            listOf(
                Condition(Keys.job(spec.id), Revision.ABSENT),
                Condition(Keys.terminalRecord(spec.id), Revision.ABSENT),
            ) +
                beside.conditions
        val write = listOf(Write.Put(Keys.job(spec.id), encoded)) + beside.writes
        repeat(TRIES) {
            when (val outcome = client.commit(conditions, write, RequestPriority.RECORD)) {
                is CommitOutcome.Committed -> {
                    jobRegistry.tell(JobMessage.Recorded(spec, outcome.revision))
                    return JobResponse.Accepted(spec.id, JobStatus.open(0, 0), isNew = true)
                }

                is CommitOutcome.Conflict -> return known(spec.id, orElse = JobResponse.NotNow("state unclear"))

                // If the first try was executed after all, the second finds the record and changes nothing.
                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return JobResponse.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return JobResponse.NotNow("the state service doesn't answer")
    }

    private suspend fun known(id: JobId, orElse: JobResponse): JobResponse = when (val shown = show(id)) {
        is JobResponse.State -> JobResponse.Accepted(id, shown.standing, isNew = false)
        JobResponse.Unknown -> orElse
        else -> shown
    }

    public suspend fun show(id: JobId): JobResponse {
        (lookup(id) as? JobLookup.Ended)?.let { return JobResponse.State(id, it.record.standing()) }
        // A job that was submitted under such an id before somebody kept any is found further down.
        jobProvider(id)?.let { kept ->
            if (lookup(id) !is JobLookup.Open) {
                kept.show(id).let {
                    if (it !=
                        JobResponse.Unknown
                    ) {
                        return it
                    }
                }
            }
        }
        if (!stateWatch.sync()) return JobResponse.NotNow("the state service doesn't answer")
        return when (val known = lookup(id)) {
            is JobLookup.Ended -> JobResponse.State(id, known.record.standing())

            is JobLookup.Open -> JobResponse.State(id, known.standing)

            JobLookup.Absent -> JobResponse.Unknown

            is JobLookup.Unknown -> when (val read = client.read(Keys.terminalRecord(id), RequestPriority.END)) {
                is ReadOutcome.Found -> TerminalRecord.decode(read.entry.value)?.let {
                    jobRegistry.tell(JobMessage.TerminalStateRecorded(id, it))
                    JobResponse.State(id, it.standing())
                } ?: JobResponse.NotNow("the job's ending can't be read")

                ReadOutcome.Absent -> {
                    jobRegistry.tell(JobMessage.AbsenceConfirmed(id, known.epoch))
                    JobResponse.Unknown
                }

                ReadOutcome.Unavailable -> JobResponse.NotNow("the state service doesn't answer")
            }
        }
    }

    public suspend fun cancel(id: JobId): JobResponse {
        var unanswered = false
        repeat(TRIES) {
            if (lookup(id) !is JobLookup.Open) {
                val shown = show(id)
                if (shown !is JobResponse.State) return shown
                val known = lookup(id)
                if (known is JobLookup.Ended) {
                    // Most likely recorded by the try that got no answer: others may hear of it as late as this node
                    // did.
                    if (unanswered && known.record.how == TerminalState.CANCELLED) onCancelled(id, known.record)
                    return JobResponse.State(id, known.record.standing())
                }
                if (known !is JobLookup.Open) return jobProvider(id)?.cancel(id) ?: shown
            }
            val open = lookup(id) as? JobLookup.Open ?: return@repeat
            val record = TerminalRecord(
                TerminalState.CANCELLED,
                open.standing.done,
                accounts.of(open.spec) ?: JobAccount.unseen(open.spec, wallClock.now()),
            )
            val outcome = client.commit(
                // Done or withdrawn: whoever creates the key of the ending has decided it.
                listOf(Condition(Keys.terminalRecord(id), Revision.ABSENT), Condition(Keys.job(id), open.version)),
                listOfNotNull(
                    Write.Put(Keys.terminalRecord(id), record.encode()),
                    Write.Drop(Keys.job(id)),
                    open.holdKey?.let {
                        Write.Drop(Keys.hold(id))
                    },
                ),
                RequestPriority.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    log.info("job withdrawn job={}", id)
                    jobRegistry.tell(JobMessage.TerminalStateRecorded(id, record))
                    onCancelled(id, record)
                    return JobResponse.State(id, record.standing())
                }

                is CommitOutcome.Conflict -> if (!stateWatch.sync()) {
                    return JobResponse.NotNow(
                        "the state service doesn't answer",
                    )
                }

                CommitOutcome.Unknown -> unanswered = true

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return JobResponse.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return JobResponse.NotNow("the state service doesn't answer")
    }

    /** Takes a hold away; [JobResponse.Unknown] if there is none to be taken. */
    public suspend fun release(id: JobId, may: (JobHold) -> Boolean): JobResponse {
        repeat(TRIES) {
            val shown = show(id)
            if (shown !is JobResponse.State) return shown
            val open = lookup(id) as? JobLookup.Open
            val hold = open?.hold?.takeIf(may) ?: return JobResponse.Unknown
            val outcome = client.commit(
                listOf(Condition(Keys.hold(id), hold.version)),
                listOf(Write.Put(Keys.hold(id), JobHold.of(HoldKind.RELEASED, hold.reason).encode())),
                RequestPriority.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> return JobResponse.State(id, open.standing)

                is CommitOutcome.Conflict, CommitOutcome.Unknown -> if (!stateWatch.sync()) {
                    return JobResponse.NotNow(
                        "the state service doesn't answer",
                    )
                }

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return JobResponse.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return JobResponse.NotNow("the state service doesn't answer")
    }

    /** What is known here, without asking anybody. */
    public suspend fun lookup(id: JobId): JobLookup {
        val reply = CompletableDeferred<JobLookup>()
        jobRegistry.tell(JobMessage.Lookup(id, reply))
        return reply.await()
    }

    private companion object {
        const val TRIES = 3
    }
}
