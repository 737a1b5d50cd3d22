package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Feed
import org.elderhitch.store.Keys
import org.elderhitch.store.Purpose
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory

/** What a user is told; the edge turns it into statuses. */
public sealed interface Answer {
    public data class Accepted(val id: JobId, val standing: Standing, val isNew: Boolean) : Answer
    public data class State(val id: JobId, val standing: Standing) : Answer
    public data class Malformed(val reason: String) : Answer
    public data class NeverRuns(val reason: String) : Answer
    public data object Unknown : Answer

    /** This node can't tell or record it now. */
    public data class NotNow(val reason: String) : Answer

    /** No node takes it now: what is open is near what the controllers can hold. */
    public data object Full : Answer
}

/** What is recorded in one transaction with a job, and only if these hold too. */
public class Beside(public val conditions: List<Condition>, public val writes: List<Write>) {
    public companion object {
        public val NOTHING: Beside = Beside(emptyList(), emptyList())
    }
}

/** What the leader has seen of a job's work; null: it can't be asked. */
public fun interface Accounts {
    public suspend fun of(spec: JobSpec): Account?
}

/** What machines exist in principle; null until the cloud has said. */
public fun interface Catalogue {
    public fun canEverRun(spec: JobSpec): Boolean?
}

/**
 * Records jobs and withdrawals on any node, leader or not: conditionally, and before anybody is told. An answer that is
 * not final is given only after [Feed.sync], so it is never older than one that another node gave.
 */
public class JobDesk(
    private val book: JobBook,
    private val feed: Feed,
    private val client: StateClient,
    private val teams: Map<TeamName, Team>,
    private val catalogue: Catalogue,
    private val valueBytes: Int,
    private val wall: WallClock,
    private val accounts: Accounts = Accounts { null },
    private val rules: ClassRules = ClassRules.NONE,
    private val admission: Admission? = null,
    private val keeper: (JobId) -> JobKeeper? = { null },
    /** Told of each withdrawal that this node has recorded. */
    private val onWithdrawn: (JobId, EndRecord) -> Unit = { _, _ -> },
) {
    private val log = LoggerFactory.getLogger("elderhitch.jobs")

    public suspend fun submit(bytes: ByteArray): Answer {
        val body: JsonObject
        val id: JobId
        try {
            body = Json.parseObject(bytes)
            id = JobCodec.id(body)
        } catch (e: MalformedJson) {
            return Answer.Malformed(e.message.orEmpty())
        }
        if (!feed.loaded) return Answer.NotNow("starting")
        val spec = try {
            JobCodec.decode(body)
        } catch (e: MalformedJson) {
            // An accepted job is never refused, whatever a repeat of it looks like.
            return known(id, orElse = Answer.Malformed(e.message.orEmpty()))
        }
        return submit(spec)
    }

    /** [extra]: fields that are kept in the job's record and mean nothing here. */
    public suspend fun submit(
        spec: JobSpec,
        extra: Map<String, Any?> = emptyMap(),
        beside: Beside = Beside.NOTHING,
    ): Answer {
        if (!feed.loaded) return Answer.NotNow("starting")
        val id = spec.id
        val encoded = JobCodec.encode(spec) + extra
        if (Json.bytes(encoded).size >
            valueBytes
        ) {
            return known(id, orElse = Answer.Malformed("the job's fields are too long"))
        }
        if (lookup(id).let {
                it is Known.Open || it is Known.Ended
            }
        ) {
            return known(id, orElse = Answer.NotNow("state unclear"))
        }
        if (keeper(id) !=
            null
        ) {
            return known(id, orElse = Answer.Malformed("id: of a form that is given and not chosen"))
        }
        refusal(spec)?.let { return known(id, orElse = it) }
        if (admission?.admits(book.footprint, spec) == false) return known(id, orElse = Answer.Full)
        return record(spec, encoded, beside)
    }

    /** Why the job would be refused, whoever submits it and by whatever way; null: it would not. */
    public suspend fun refusal(spec: JobSpec): Answer? = neverRuns(spec) ?: spec.repeatOf?.let { badRepeat(spec, it) }

    private suspend fun badRepeat(spec: JobSpec, earlier: JobId): Answer? = when (val shown = show(earlier)) {
        Answer.Unknown -> Answer.NeverRuns("repeatOf: no such job")

        is Answer.State -> {
            val known = lookup(earlier)
            val jobClass = (known as? Known.Open)?.spec?.jobClass ?: (known as? Known.Ended)?.record?.account?.jobClass
            if (jobClass == null ||
                jobClass == spec.jobClass
            ) {
                null
            } else {
                Answer.NeverRuns("repeatOf: a job of class $jobClass")
            }
        }

        else -> shown
    }

    private fun neverRuns(spec: JobSpec): Answer? {
        rules.deniesRepeat(spec)?.let { return Answer.NeverRuns(it) }
        val team = teams[spec.team] ?: return Answer.NeverRuns("desk: unknown team")
        val atOnce = spec.need * if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        if (team.mostCpus != null &&
            atOnce.cpus > team.mostCpus ||
            team.mostGpus != null &&
            atOnce.gpus > team.mostGpus
        ) {
            return Answer.NeverRuns("more than the team's limit")
        }
        return when (catalogue.canEverRun(spec)) {
            true -> null
            false -> Answer.NeverRuns("a task fits no allowed machine type")
            null -> Answer.NotNow("machine types not known yet")
        }
    }

    private suspend fun record(spec: JobSpec, encoded: Map<String, Any?>, beside: Beside): Answer {
        val conditions =
            listOf(Condition(Keys.job(spec.id), Revision.ABSENT), Condition(Keys.end(spec.id), Revision.ABSENT)) +
                beside.conditions
        val write = listOf(Write.Put(Keys.job(spec.id), encoded)) + beside.writes
        repeat(TRIES) {
            when (val outcome = client.commit(conditions, write, Purpose.RECORD)) {
                is CommitOutcome.Committed -> {
                    book.tell(JobMessage.Recorded(spec, outcome.revision))
                    return Answer.Accepted(spec.id, Standing.open(0, 0), isNew = true)
                }

                is CommitOutcome.Conflict -> return known(spec.id, orElse = Answer.NotNow("state unclear"))

                // If the first try was executed after all, the second finds the record and changes nothing.
                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Answer.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return Answer.NotNow("the state service doesn't answer")
    }

    private suspend fun known(id: JobId, orElse: Answer): Answer = when (val shown = show(id)) {
        is Answer.State -> Answer.Accepted(id, shown.standing, isNew = false)
        Answer.Unknown -> orElse
        else -> shown
    }

    public suspend fun show(id: JobId): Answer {
        (lookup(id) as? Known.Ended)?.let { return Answer.State(id, it.record.standing()) }
        // A job that was submitted under such an id before somebody kept any is found further down.
        keeper(id)?.let { kept ->
            if (lookup(id) !is Known.Open) {
                kept.show(id).let {
                    if (it !=
                        Answer.Unknown
                    ) {
                        return it
                    }
                }
            }
        }
        if (!feed.sync()) return Answer.NotNow("the state service doesn't answer")
        return when (val known = lookup(id)) {
            is Known.Ended -> Answer.State(id, known.record.standing())

            is Known.Open -> Answer.State(id, known.standing)

            Known.Absent -> Answer.Unknown

            is Known.Nothing -> when (val read = client.read(Keys.end(id), Purpose.END)) {
                is ReadOutcome.Found -> EndRecord.decode(read.entry.value)?.let {
                    book.tell(JobMessage.EndedHere(id, it))
                    Answer.State(id, it.standing())
                } ?: Answer.NotNow("the job's ending can't be read")

                ReadOutcome.Absent -> {
                    book.tell(JobMessage.AbsentHere(id, known.epoch))
                    Answer.Unknown
                }

                ReadOutcome.Unavailable -> Answer.NotNow("the state service doesn't answer")
            }
        }
    }

    public suspend fun withdraw(id: JobId): Answer {
        var unanswered = false
        repeat(TRIES) {
            if (lookup(id) !is Known.Open) {
                val shown = show(id)
                if (shown !is Answer.State) return shown
                val known = lookup(id)
                if (known is Known.Ended) {
                    // Most likely recorded by the try that got no answer: others may hear of it as late as this node did.
                    if (unanswered && known.record.how == Ending.WITHDRAWN) onWithdrawn(id, known.record)
                    return Answer.State(id, known.record.standing())
                }
                if (known !is Known.Open) return keeper(id)?.withdraw(id) ?: shown
            }
            val open = lookup(id) as? Known.Open ?: return@repeat
            val record = EndRecord(
                Ending.WITHDRAWN,
                open.standing.done,
                accounts.of(open.spec) ?: Account.unseen(open.spec, wall.now()),
            )
            val outcome = client.commit(
                // Done or withdrawn: whoever creates the key of the ending has decided it.
                listOf(Condition(Keys.end(id), Revision.ABSENT), Condition(Keys.job(id), open.version)),
                listOfNotNull(
                    Write.Put(Keys.end(id), record.encode()),
                    Write.Drop(Keys.job(id)),
                    open.holdKey?.let {
                        Write.Drop(Keys.hold(id))
                    },
                ),
                Purpose.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    log.info("job withdrawn job={}", id)
                    book.tell(JobMessage.EndedHere(id, record))
                    onWithdrawn(id, record)
                    return Answer.State(id, record.standing())
                }

                is CommitOutcome.Conflict -> if (!feed.sync()) return Answer.NotNow("the state service doesn't answer")

                CommitOutcome.Unknown -> unanswered = true

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Answer.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return Answer.NotNow("the state service doesn't answer")
    }

    /** Takes a hold away; [Answer.Unknown] if there is none to be taken. */
    public suspend fun release(id: JobId, may: (Hold) -> Boolean): Answer {
        repeat(TRIES) {
            val shown = show(id)
            if (shown !is Answer.State) return shown
            val open = lookup(id) as? Known.Open
            val hold = open?.hold?.takeIf(may) ?: return Answer.Unknown
            val outcome = client.commit(
                listOf(Condition(Keys.hold(id), hold.version)),
                listOf(Write.Put(Keys.hold(id), Hold.of(HoldKind.RELEASED, hold.reason).encode())),
                Purpose.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> return Answer.State(id, open.standing)

                is CommitOutcome.Conflict, CommitOutcome.Unknown -> if (!feed.sync()) {
                    return Answer.NotNow(
                        "the state service doesn't answer",
                    )
                }

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Answer.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return Answer.NotNow("the state service doesn't answer")
    }

    /** What is known here, without asking anybody. */
    public suspend fun lookup(id: JobId): Known {
        val reply = CompletableDeferred<Known>()
        book.tell(JobMessage.Lookup(id, reply))
        return reply.await()
    }

    private companion object {
        const val TRIES = 3
    }
}
