package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.ProvisioningActor
import org.elderhitch.heartbeat.Command
import org.elderhitch.heartbeat.WorkerClient
import org.elderhitch.http.Address
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.CompletionWriter
import org.elderhitch.jobs.HoldWriteResult
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.JobRegistry
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.NodeName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.tasks.ImageHints
import kotlin.time.Duration.Companion.seconds

/** What the foreman asks of the other slices; whatever takes time runs beside it and comes back as a message. */
internal class SchedulerWiring(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val completionWriter: CompletionWriter,
    private val jobRegistry: JobRegistry,
    private val line: WorkerClient,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    private val valueBytes: Int,
    private val entitled: (LeadershipState.Leader) -> Boolean,
    private val isCutOffFrom: (NodeName) -> Boolean,
    private val provisioning: () -> ProvisioningActor,
    private val tell: (SchedulerMessage) -> Unit,
) : SchedulerPorts {
    private var lastHint: Map<String, Any?> = emptyMap()

    /** How many tasks of each job run, by the last word. */
    var running: Map<JobId, Int> = emptyMap()
        private set

    /** What the last term that was led here ordered of workers, by the last word. */
    var ordered: Map<String, Any?> = emptyMap()
        private set

    override fun publishStatistics(counts: Map<String, Any?>) {
        ordered = counts
    }

    override fun fleet(message: FleetMessage) = provisioning().tell(message)

    override fun leadership(message: LeadershipMessage) = leadership.tell(message)

    override fun recordCompletions(leader: LeadershipState.Leader, batches: List<CompletionBatch>) {
        scope.launch {
            val recorded = completionWriter.record(leader, batches.filter { !it.providerOwned })
            var kept: Map<JobId, List<Int>>? = emptyMap()
            for ((jobProvider, jobs) in batches.filter { it.providerOwned }.groupBy { features().jobProvider(it.job) }) {
                kept = kept?.let { before -> jobProvider?.record(leader, jobs)?.let { before + it } }
            }
            if (recorded == null ||
                kept == null
            ) {
                leadership.tell(LeadershipMessage.TermObserved(Term(leader.term.number + 1)))
            }
            tell(SchedulerMessage.CompletionsRecorded(leader.term, recorded.orEmpty() + kept.orEmpty()))
        }
    }

    override fun deleteCompletions(leader: LeadershipState.Leader, job: JobId, blocks: Set<Int>) {
        if (!features().keepsFinished(job)) scope.launch { completionWriter.dropCompletedTasks(leader, job, blocks) }
    }

    override fun writeHold(
        leader: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        replaces: Revision,
        hold: JobHold,
    ) {
        scope.launch {
            var unclear = false
            while (true) {
                val outcome = when (val written = completionWriter.hold(leader, job, version, replaces, hold)) {
                    is CommitOutcome.Committed -> HoldWriteResult.WRITTEN

                    is CommitOutcome.Conflict -> if (Keys.job(job) in written.failed &&
                        Keys.TERM !in written.failed
                    ) {
                        HoldWriteResult.JOB_GONE
                    } else {
                        HoldWriteResult.NOT_WRITTEN
                    }

                    CommitOutcome.Unknown -> HoldWriteResult.UNKNOWN

                    // Says nothing of an earlier try that nobody answered: that one may yet be carried out.
                    CommitOutcome.Refused, CommitOutcome.NoSuchLease -> if (unclear) HoldWriteResult.UNKNOWN else HoldWriteResult.NOT_WRITTEN
                }
                tell(SchedulerMessage.HoldWritten(leader.term, job, outcome))
                if (outcome != HoldWriteResult.UNKNOWN) return@launch
                unclear = true
                // Nothing of the job is started until this is clear: it must become so.
                delay(HOLD_AGAIN)
            }
        }
    }

    override fun deleteHold(leader: LeadershipState.Leader, job: JobId) {
        scope.launch { completionWriter.dropHold(leader, job) }
    }

    override fun saveImageHints(leader: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>) {
        val value = ImageHints.encode(images, valueBytes)
        if (value == lastHint) return
        lastHint = value
        scope.launch {
            client.commit(
                listOf(Condition(Keys.TERM, leader.termRevision)),
                listOf(Write.Put(Keys.IMAGES, value)),
                RequestPriority.OTHER,
            )
        }
    }

    override fun probe(leader: LeadershipState.Leader, address: Address, machine: MachineId) {
        scope.launch {
            tell(
                SchedulerMessage.ProbeCompleted(
                    leader.term,
                    machine,
                    line.probe(address, leader.term) {
                        entitled(leader)
                    },
                ),
            )
        }
    }

    override fun sendCommands(
        leader: LeadershipState.Leader,
        address: Address,
        machine: MachineId,
        agentEpoch: Long,
        commands: List<Command>,
    ) {
        scope.launch {
            val outcome = line.send(address, leader.term, agentEpoch, commands) { entitled(leader) }
            val starts = commands.filterIsInstance<Command.Start>().map { it.task to it.attempt }.toSet()
            tell(SchedulerMessage.CommandsDelivered(leader.term, machine, agentEpoch, starts, outcome))
        }
    }

    override fun isCutOffFrom(leader: NodeName): Boolean = isCutOffFrom.invoke(leader)

    override fun publishRunningCounts(counts: Map<JobId, Int>) {
        running = counts
        jobRegistry.tell(JobMessage.RunningCounts(counts))
    }

    private companion object {
        val HOLD_AGAIN = 1.seconds
    }
}
