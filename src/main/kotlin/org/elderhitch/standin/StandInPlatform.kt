package org.elderhitch.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.http.Address
import org.elderhitch.http.Handler
import org.elderhitch.http.Transport
import org.elderhitch.jobs.JobId
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.store.Keys
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The zones, the machines per zone, the boot time and the machine types of the stand-in cloud. */
public class StandInFleet(
    public val zones: List<String>,
    public val machinesPerZone: Int,
    public val bootTime: Duration,
    public val types: List<StandInType> = listOf(CloudStandIn.USUAL),
)

/** The stand-in state service, cloud and workers together. Each task runs for the estimate of its job. */
public class StandInPlatform(
    private val scope: CoroutineScope,
    private val clock: SteadyClock,
    private val transportOf: (StandInMachine) -> Transport,
    private val nodes: Map<String, Address>,
    private val timeouts: WorkerTimeouts,
    private val random: Random,
    fleet: StandInFleet,
    private val watch: TaskObserver,
    /** The address at which a machine's worker accepts commands; empty if it has none. */
    private val addressOf: (StandInMachine) -> String = { "" },
    /** How fast machines fetch images, in GB/s; null if fetching takes no time. */
    private val imageFetchGbPerS: Double? = null,
) {
    public val state: StateStandIn = StateStandIn(clock)
    public val cloud: CloudStandIn =
        CloudStandIn(
            clock,
            fleet.zones,
            fleet.machinesPerZone,
            fleet.bootTime,
            ::startWorker,
            ::shutDownWorker,
            fleet.types,
        )
    private val workers = HashMap<String, Pair<WorkerStandIn, Job>>()
    private val workersByAddress = HashMap<String, WorkerStandIn>()

    /** The uploaded script of a job that has no record in the state service; null if there is none. */
    public var uploaded: (String) -> TaskScript? = { null }
    private val scriptsByJob = HashMap<String, TaskScript>()

    public fun start() {
        scope.launch {
            while (true) {
                delay(TICK_INTERVAL)
                cloud.tick()
            }
        }
    }

    private fun startWorker(machine: StandInMachine) {
        machine.address = addressOf(machine)
        val worker = WorkerStandIn(machine, nodes, transportOf(machine), timeouts, clock, random, ::scriptOf, watch)
        workersByAddress[machine.address] = worker
        workers[machine.id] = worker to scope.launch { worker.run() }
    }

    private fun shutDownWorker(machine: StandInMachine) {
        val (worker, job) = workers.remove(machine.id) ?: return
        workersByAddress.remove(machine.address)
        worker.end()
        job.cancel()
    }

    /** The worker that accepts commands at [address]; null if there is none. */
    public fun workerAt(address: Address): Handler? = workersByAddress[address.text]

    /** The workers of running machines, by machine id. */
    public fun workers(): Map<String, WorkerStandIn> = workers.mapValues { it.value.first }

    /** Makes a machine fail: its tasks end, and its worker sends and answers nothing more. */
    public fun kill(machine: String) {
        cloud.machines().firstOrNull { it.id == machine }?.let {
            it.failed = true
            it.up = false
            shutDownWorker(it)
        }
    }

    private fun scriptOf(job: String): TaskScript? {
        scriptsByJob[job]?.let { return it }
        val id = JobId.parse(job) ?: return null
        val record: JsonObject = state.value(Keys.job(id)) ?: return uploaded(job)?.also { scriptsByJob[job] = it }
        val script = script(record, imageFetchGbPerS)
        scriptsByJob[job] = script
        return script
    }

    public companion object {
        private val TICK_INTERVAL = 100.milliseconds

        /** Reads the script from a job's description. Throws [org.elderhitch.json.MalformedJson] if it is invalid. */
        public fun script(job: JsonObject, imageFetchGbPerS: Double? = null): TaskScript = TaskScript(
            job.string("lotKind"),
            job.amount("haulS").seconds,
            job.amount("cores"),
            job.amount("accelerators"),
            imageFetchGbPerS?.let { (job.amount("pullGb") / it).seconds } ?: Duration.ZERO,
        )
    }
}
