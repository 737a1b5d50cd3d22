package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Renter
import org.elderhitch.http.Address
import org.elderhitch.jobs.Hold
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobBook
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.Recorder
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.Purpose
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.workers.Command
import org.elderhitch.workers.FinishedBatch
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.ForemanPorts
import org.elderhitch.workers.HoldWrite
import org.elderhitch.workers.ImageHints
import org.elderhitch.workers.MachineId
import org.elderhitch.workers.WorkerLine
import kotlin.time.Duration.Companion.seconds

/** What the foreman asks of the other slices; whatever takes time runs beside it and comes back as a message. */
internal class ForemanWiring(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val recorder: Recorder,
    private val book: JobBook,
    private val line: WorkerLine,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    private val valueBytes: Int,
    private val entitled: (Tenure.Leading) -> Boolean,
    private val cutOff: (NodeName) -> Boolean,
    private val renter: () -> Renter,
    private val tell: (ForemanMessage) -> Unit,
) : ForemanPorts {
    private var lastHint: Map<String, Any?> = emptyMap()

    /** How many tasks of each job run, by the last word. */
    var running: Map<JobId, Int> = emptyMap()
        private set

    /** What the last term that was led here ordered of workers, by the last word. */
    var ordered: Map<String, Any?> = emptyMap()
        private set

    override fun ordered(counts: Map<String, Any?>) {
        ordered = counts
    }

    override fun fleet(message: FleetMessage) = renter().tell(message)

    override fun leadership(message: LeadershipMessage) = leadership.tell(message)

    override fun record(tenure: Tenure.Leading, finished: List<FinishedBatch>) {
        scope.launch {
            val recorded = recorder.record(tenure, finished.filter { !it.kept })
            var kept: Map<JobId, List<Int>>? = emptyMap()
            for ((keeper, jobs) in finished.filter { it.kept }.groupBy { features().keeper(it.job) }) {
                kept = kept?.let { before -> keeper?.record(tenure, jobs)?.let { before + it } }
            }
            if (recorded == null ||
                kept == null
            ) {
                leadership.tell(LeadershipMessage.TermSeen(Term(tenure.term.number + 1)))
            }
            tell(ForemanMessage.Recorded(tenure.term, recorded.orEmpty() + kept.orEmpty()))
        }
    }

    override fun forget(tenure: Tenure.Leading, job: JobId, blocks: Set<Int>) {
        if (!features().keepsFinished(job)) scope.launch { recorder.forget(tenure, job, blocks) }
    }

    override fun hold(tenure: Tenure.Leading, job: JobId, version: Revision, before: Revision, hold: Hold) {
        scope.launch {
            var unclear = false
            while (true) {
                val outcome = when (val written = recorder.hold(tenure, job, version, before, hold)) {
                    is CommitOutcome.Committed -> HoldWrite.WRITTEN

                    is CommitOutcome.Conflict -> if (Keys.job(job) in written.failed &&
                        Keys.TERM !in written.failed
                    ) {
                        HoldWrite.JOB_GONE
                    } else {
                        HoldWrite.NOT_WRITTEN
                    }

                    CommitOutcome.Unknown -> HoldWrite.UNKNOWN

                    // Says nothing of an earlier try that nobody answered: that one may yet be carried out.
                    CommitOutcome.Refused, CommitOutcome.NoSuchLease -> if (unclear) HoldWrite.UNKNOWN else HoldWrite.NOT_WRITTEN
                }
                tell(ForemanMessage.HoldWritten(tenure.term, job, outcome))
                if (outcome != HoldWrite.UNKNOWN) return@launch
                unclear = true
                // Nothing of the job is started until this is clear: it must become so.
                delay(HOLD_AGAIN)
            }
        }
    }

    override fun forgetHold(tenure: Tenure.Leading, job: JobId) {
        scope.launch { recorder.forgetHold(tenure, job) }
    }

    override fun hint(tenure: Tenure.Leading, images: Map<MachineId, Map<Image, Double>>) {
        val value = ImageHints.encode(images, valueBytes)
        if (value == lastHint) return
        lastHint = value
        scope.launch {
            client.commit(
                listOf(Condition(Keys.TERM, tenure.counter)),
                listOf(Write.Put(Keys.IMAGES, value)),
                Purpose.OTHER,
            )
        }
    }

    override fun ask(tenure: Tenure.Leading, at: Address, machine: MachineId) {
        scope.launch {
            tell(ForemanMessage.Asked(tenure.term, machine, line.ask(at, tenure.term) { entitled(tenure) }))
        }
    }

    override fun command(
        tenure: Tenure.Leading,
        to: Address,
        machine: MachineId,
        session: Long,
        commands: List<Command>,
    ) {
        scope.launch {
            val outcome = line.send(to, tenure.term, session, commands) { entitled(tenure) }
            val starts = commands.filterIsInstance<Command.Start>().map { it.task to it.attempt }.toSet()
            tell(ForemanMessage.Commanded(tenure.term, machine, session, starts, outcome))
        }
    }

    override fun cutOff(leader: NodeName): Boolean = cutOff.invoke(leader)

    override fun running(counts: Map<JobId, Int>) {
        running = counts
        book.tell(JobMessage.Running(counts))
    }

    private companion object {
        val HOLD_AGAIN = 1.seconds
    }
}
