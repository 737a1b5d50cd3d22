package org.elderhitch.lab

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.app.Controller
import org.elderhitch.features.Features
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.settings.Settings
import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInFleet
import org.elderhitch.standin.StandInMachine
import org.elderhitch.standin.StandInPlatform
import org.elderhitch.standin.StandInType
import org.elderhitch.standin.TaskObserver
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.elderhitch.time.WallTime
import kotlin.coroutines.ContinuationInterceptor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Parameters of a [SimulatedCluster]. */
internal class SimulationSettings(
    val seed: Long = 1,
    val heartbeatIntervalS: Double = 1.0,
    val features: Features = Features.NONE,
    val openJobsLimit: (node: String) -> Footprint = { Footprint.limitFor(Long.MAX_VALUE / 2) },
    val requestsPerS: Double = 300.0,
    val writesPerS: Double = 60.0,
    val maxGpus: Double = 40.0,
    /** Core quota of `team`; null: none. */
    val maxCpus: Double? = null,
    val machinesPerZone: Int = 6,
    val zones: List<String> = listOf("a", "b"),
    /** The zones of the three nodes. */
    val nodeZones: List<String> = listOf("a", "a", "a"),
    val leaseS: Double = 11.0,
    val boot: Duration = 5.seconds,
    /** Image download rate in GB/s; null: images are there at once. */
    val imageFetchGbPerS: Double? = null,
    /** Processor time that requests and cycles cost a node; null: none. */
    val costs: CostModel? = null,
    /** Accelerator quotas of the teams besides `team`. */
    val otherTeams: Map<String, Double> = emptyMap(),
    val types: List<StandInType> = listOf(CloudStandIn.USUAL),
    val cloudPerS: Double = 10.0,
    val policy: FleetPolicy = FleetPolicy(),
    /** Whether machines refuse an attempt as busy while they have the record of another attempt that has exited. */
    val refusesBesideExited: Boolean = false,
    /** Called after each scheduling cycle with the number of machines and candidates it looked at. */
    val onCycle: (machineVisits: Long) -> Unit = {},
)

/**
 * Three controllers in virtual time, with stand-ins for the cloud, the state service and the workers, on a simulated
 * [Network] that can fail.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulatedCluster(
    val simulationScope: CoroutineScope,
    val clock: SteadyClock,
    private val simulationSettings: SimulationSettings = SimulationSettings(),
) : TaskObserver {
    private val random = Random(simulationSettings.seed)
    val wallClock = WallClock { WallTime(WALL_CLOCK_START_MS + clock.now().nanos / NANOS_PER_MS) }

    /** Whether a task fails as soon as it starts. */
    var failing: (task: String, machine: String) -> Boolean = { _, _ -> false }

    /** Whether a machine refuses to start a task, as if it had too few free resources. */
    var lacksRoom: (task: String, machine: String) -> Boolean = { _, _ -> false }

    val network = Network(simulationScope, random) { platform.workerAt(it) }
    val cuts: MutableSet<Pair<String, String>> get() = network.cutPairs
    var transactionOutcome: (node: String, commit: String) -> TransactionOutcome by network::transactionOutcome
    var lateCommands: () -> Duration? by network::lateCommands
    var silentWorkers: Set<String?> by network::silentWorkers
    var slowAnswers: () -> Duration by network::slowAnswers
    private val processors = HashMap<String, NodeProcessor>()
    private val controllers = HashMap<String, Controller>()
    private val machinesSeen = HashMap<String, StandInMachine>()
    val names = listOf("n0", "n1", "n2")
    val platform: StandInPlatform
    val onMachine = HashMap<String, String>()
    val startsOf = HashMap<String, Int>()
    val violations = ArrayList<String>()

    /** An additional observer of all events on machines. */
    var taskObserver: TaskObserver? = null

    /** When each machine last refused a start for lack of capacity. */
    val refusedAt = HashMap<String, MonotonicInstant>()

    /** Maximum number of tasks that ran at the same time. */
    var maxConcurrentTasks = 0

    init {
        val nodes = names.associateWith { Address("$it:80") }
        platform = StandInPlatform(
            simulationScope, clock, {
                machinesSeen[it.id] = it
                network.transport("workers", it.id)
            }, nodes, settings("n0").workers, random,
            StandInFleet(
                simulationSettings.zones,
                simulationSettings.machinesPerZone,
                simulationSettings.boot,
                simulationSettings.types,
            ),
            this,
            addressOf = { "${it.id}:9000" }, simulationSettings.imageFetchGbPerS,
        )
        network.handlers["state:1"] = platform.state
        network.stateDown = { platform.state.down }
        network.handlers["cloud:1"] = platform.cloud
        platform.start()
        simulationSettings.costs?.let { costs ->
            network.onWork =
                { node, path -> processors[node]?.charge(costs.requestCost(path)) }
        }
        names.forEach(::startNode)
    }

    override fun started(task: String, machine: String) {
        onMachine[task]?.let { violations.add("$task started on $machine while on $it") }
        onMachine[task] = machine
        maxConcurrentTasks = maxOf(maxConcurrentTasks, onMachine.size)
        startsOf.merge(task, 1, Int::plus)
        taskObserver?.started(task, machine)
    }

    override fun ended(task: String, machine: String) {
        if (onMachine[task] == machine) onMachine.remove(task)
        taskObserver?.ended(task, machine)
    }

    /** Number of tasks that ended because the lease of their machine expired. */
    var leaseExpirations = 0
        private set

    override fun leaseExpired(task: String) {
        leaseExpirations++
    }

    override fun completed(task: String) {
        taskObserver?.completed(task)
    }

    override fun refused(task: String, machine: String) {
        refusedAt[machine] = clock.now()
    }

    override fun fails(task: String, machine: String): Boolean = failing(task, machine)

    override fun lacksRoom(task: String, machine: String): Boolean = lacksRoom.invoke(task, machine)

    override val refusesBesideExited: Boolean get() = simulationSettings.refusesBesideExited

    fun startNode(name: String) {
        val context = simulationScope.coroutineContext
        val processor = NodeProcessor(context[ContinuationInterceptor] as CoroutineDispatcher, clock)
        processors[name] = processor
        val scope = CoroutineScope(context + SupervisorJob(context[Job]) + processor)
        network.nodes[name] = scope
        val controller = Controller(
            scope,
            settings(name),
            simulationSettings.policy,
            network.transport(name),
            clock,
            wallClock,
            Random(random.nextLong()),
            simulationSettings.features,
            simulationSettings.openJobsLimit(name),
            { machineVisits ->
                simulationSettings.onCycle(machineVisits)
                simulationSettings.costs?.let { processor.charge(it.cycleCost(machineVisits)) }
            },
        )
        controllers[name] = controller
        network.handlers["$name:80"] = controller.clientHandler
        network.handlers["$name:81"] = controller.peerHandler
        controller.start()
    }

    /** Pauses the process of a node: its clock goes on, and everything that is due for it waits until [resumeNode]. */
    fun pauseNode(name: String) {
        processors[name]?.isPaused = true
    }

    fun resumeNode(name: String) {
        processors[name]?.resume()
    }

    fun crash(name: String) {
        processors.remove(name)
        network.nodes.remove(name)?.cancel(CancellationException("crash"))
        controllers.remove(name)
        network.handlers.remove("$name:80")
        network.handlers.remove("$name:81")
    }

    fun leader(): String? = names.firstOrNull { name ->
        name in controllers && platform.state.value("v/a/leader")?.string("node") == name
    }

    /** The leader's task table: task to machine; null: no node leads. */
    suspend fun taskPlacements(): Map<TaskId, MachineId>? = leader()?.let { controllers[it]?.placements() }

    suspend fun ask(
        method: String,
        path: String,
        body: Map<String, Any?>? = null,
        node: String? = null,
    ): Pair<Int, Map<String, Any?>> {
        repeat(MAX_ASK_ATTEMPTS) { n ->
            val name = node ?: names[n % names.size]
            val bytes = body?.let { Json.bytes(it) } ?: if (method == "POST") ByteArray(0) else null
            val response = network.transport("user").call(Address("$name:80"), method, path, bytes, 5.seconds)
            if (response != null && (response.status < BUSY || node != null)) {
                @Suppress("UNCHECKED_CAST")
                return response.status to (Json.parse(response.body) as Map<String, Any?>)
            }
            delay(1.seconds)
        }
        return BUSY to emptyMap()
    }

    /** Sends one request to one node, without retries; null: no answer. */
    suspend fun call(node: String, method: String, path: String, body: ByteArray?): Response? =
        network.transport("user").call(Address("$node:80"), method, path, body, 2.seconds)

    suspend fun post(node: String, path: String, body: ByteArray, timeout: Duration): Response? =
        network.transport("user").call(Address("$node:80"), "POST", path, body, timeout)

    suspend fun submit(id: String, kind: String, tasks: Int, runs: Double, extra: Map<String, Any?> = emptyMap()) {
        val body = ClassArchiveTraining.exampleJob(id, kind) + mapOf("crates" to tasks, "haulS" to runs) + extra
        val (status, answer) = ask("POST", "/work", body)
        check(status in OK..CREATED) { "$id: $status $answer" }
    }

    suspend fun jobState(id: String): String = ask("GET", "/work/$id").second["standing"].toString()

    suspend fun until(what: String, limit: Duration, check: suspend () -> Boolean) {
        val end = clock.now() + limit
        while (!check()) {
            if (clock.now() > end) throw AssertionError("$what: not within $limit")
            delay(200.milliseconds)
        }
    }

    fun assertNoViolations() = check(violations.isEmpty()) { violations.joinToString("; ") }

    val zones: List<String> get() = simulationSettings.zones

    /** Accelerator quota of each team. */
    val limits: Map<String, Double> get() = mapOf("team" to simulationSettings.maxGpus) + simulationSettings.otherTeams

    /** Core quota of each team that has one. */
    val cpuLimits: Map<String, Double> get() = listOfNotNull(simulationSettings.maxCpus?.let { "team" to it }).toMap()

    /** Machines that do not hang. */
    fun machinesUp(): Collection<StandInMachine> = platform.workers().filter {
        !it.value.hanging
    }.keys.mapNotNull(machinesSeen::get)

    fun isUp(node: String): Boolean = node in controllers

    /** A machine that exists or existed. */
    fun machine(id: String): StandInMachine? = machinesSeen[id]

    /** The zone of a node or machine; null: the host belongs to none. */
    fun zoneOf(host: String): String? =
        names.indexOf(host).takeIf { it >= 0 }?.let(simulationSettings.nodeZones::get) ?: machinesSeen[host]?.zone

    private fun settings(name: String): Settings = Settings.parse(
        Json.bytes(
            linkedMapOf(
                "node_name" to name,
                "zone" to zoneOf(name),
                "client_listen" to "$name:80",
                "cluster_listen" to "$name:81",
                "known" to listOf("n0", "n1", "n2").filter { it != name }
                    .map { mapOf("node_name" to it, "zone" to zoneOf(it), "address" to "$it:81") },
                "external" to mapOf("cloud" to "cloud:1", "state" to "state:1"),
                "settings" to linkedMapOf(
                    "zones" to simulationSettings.zones,
                    "teams" to
                        limits.map { (name, gpus) ->
                            mapOf(
                                "name" to name,
                                "gpus_max" to gpus,
                                "cpus_max" to (cpuLimits[name] ?: 0.0),
                            )
                        },
                    "workers" to
                        mapOf(
                            "report_s" to simulationSettings.heartbeatIntervalS,
                            "lease_s" to simulationSettings.leaseS,
                            "gang_wait_s" to 30.0,
                            "gang_peer_s" to 5.0,
                            "cancel_s" to simulationSettings.leaseS + 30,
                        ),
                    "state" to
                        mapOf(
                            "rps" to simulationSettings.requestsPerS,
                            "write_rps" to simulationSettings.writesPerS,
                            "value_kb" to 8.0,
                            "txn_ops" to 8,
                        ),
                    "cloud" to mapOf("rps" to simulationSettings.cloudPerS, "list_lag_s" to 1.0),
                ),
            ),
        ),
    )

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val OK = 200
        const val CREATED = 201
        const val BUSY = 503
        const val MAX_ASK_ATTEMPTS = 40
        const val WALL_CLOCK_START_MS = 1_700_000_000_000L
    }
}
