package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.http.Address
import org.elderhitch.http.HttpClient
import org.elderhitch.http.HttpServer
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Settings
import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInPlatform
import org.elderhitch.standin.TaskScript
import org.elderhitch.standin.TaskWatch
import org.elderhitch.time.SystemSteadyClock
import org.elderhitch.time.SystemWallClock
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The daemon against the stand-ins on loopback: for a first try by hand, and for the build's class archive. */
internal object ClassArchiveTraining {
    private val log = LoggerFactory.getLogger("elderhitch.standin")
    private const val MACHINES_PER_ZONE = 8
    private const val SOCKETS = 256
    private val BACKLOG = 1
    private val REHEARSAL = 7.seconds
    private val POLL = 200.milliseconds
    private val TIMEOUT = 2.seconds

    private object Silent : TaskWatch {
        override fun started(task: String, machine: String) = log.info("task started task={} machine={}", task, machine)

        override fun ended(task: String, machine: String) = log.info("task ended task={} machine={}", task, machine)
    }

    fun standIns(config: String, nodes: Map<String, Address>?, uploads: File?) {
        val settings = Daemon.settings(config)
        val loop = Daemon.loop()
        val scope = Daemon.scope(loop)
        val group = channelGroup(loop)
        val platform =
            start(
                settings,
                scope,
                HttpClient(group, SystemSteadyClock),
                HttpServer(group, scope, SystemSteadyClock, SOCKETS),
                nodes,
            )
        uploads?.let { folder -> platform.uploaded = { job -> uploaded(File(folder, "$job.json")) } }
        log.info("stand-ins up state={} cloud={}", settings.state, settings.cloud)
    }

    /** Null: no such file, or no job's description. */
    private fun uploaded(file: File): TaskScript? = try {
        if (file.isFile) StandInPlatform.script(Json.parseObject(file.readBytes())) else null
    } catch (e: IOException) {
        log.error("upload unreadable file={} reason=\"{}\"", file, e.message)
        null
    } catch (e: MalformedJson) {
        log.error("upload malformed file={} reason=\"{}\"", file, e.message)
        null
    }

    private fun start(
        settings: Settings,
        scope: CoroutineScope,
        client: HttpClient,
        server: HttpServer,
        known: Map<String, Address>? = null,
    ): StandInPlatform {
        // The settings name the other controllers' cluster addresses only.
        val nodes = known ?: mapOf(settings.node.text to settings.clientListen)
        val platform = StandInPlatform(
            scope, SystemSteadyClock, { client }, nodes, settings.workers, Random.Default,
            settings.zones.map { it.name }, MACHINES_PER_ZONE, CloudStandIn.QUICK_BOOT, Silent,
        )
        platform.start()
        server.listen(settings.state, platform.state)
        server.listen(settings.cloud, platform.cloud)
        return platform
    }

    /**
     * Ends the process whatever happens: its threads would keep it, and the build that waits for it, for ever. Seen:
     * another
     * process had taken a port between its choice and its use.
     */
    fun run() {
        var tries = 0
        while (true) {
            try {
                rehearse(Settings.parse(Json.bytes(exampleSettings(freePorts(PORTS)))))
                exitProcess(0)
            } catch (e: IOException) {
                log.error("rehearsal failed reason=\"{}\"", e.message)
                if (++tries == TRIES) exitProcess(1)
            } catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
                log.error("rehearsal failed", e)
                exitProcess(1)
            }
        }
    }

    private fun rehearse(settings: Settings) {
        val loop = Daemon.loop()
        val scope = Daemon.scope(loop)
        val group = channelGroup(loop)
        val client = HttpClient(group, SystemSteadyClock)
        val server = HttpServer(group, scope, SystemSteadyClock, SOCKETS)
        runBlocking {
            withContext(scope.coroutineContext) {
                start(settings, scope, client, server)
                val controller =
                    Controller(
                        scope,
                        settings,
                        FleetPolicy(),
                        client,
                        SystemSteadyClock,
                        SystemWallClock,
                        Random.Default,
                    )
                controller.start()
                server.listen(settings.clientListen, controller.clients)
                server.listen(settings.clusterListen, controller.peers)
                exercise(client, settings.clientListen)
            }
        }
    }

    private suspend fun exercise(client: HttpClient, node: Address) {
        val until = SystemSteadyClock.now() + REHEARSAL
        while (SystemSteadyClock.now() < until) {
            for ((n, kind) in listOf("array", "gang", "daemon").withIndex()) {
                client.call(node, "POST", "/work", Json.bytes(exampleJob("req-$n", kind)), TIMEOUT)
                client.call(node, "GET", "/work/req-$n", null, TIMEOUT)
            }
            client.call(node, "GET", "/ready", null, TIMEOUT)
            client.call(node, "GET", "/status", null, TIMEOUT)
            client.call(node, "GET", "/work/req-9", null, TIMEOUT)
            delay(POLL)
        }
        client.call(node, "POST", "/work/req-2/withdraw", ByteArray(0), TIMEOUT)
        delay(1.seconds)
    }

    private const val PORTS = 5

    private const val TRIES = 3

    /** All held until the last is chosen, so that none is chosen twice. */
    private fun freePorts(count: Int): List<Int> {
        val held = List(count) { ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()) }
        return held.map { it.localPort }.also { held.forEach(ServerSocket::close) }
    }

    fun exampleJob(id: String, kind: String): Map<String, Any?> = linkedMapOf(
        "id" to id, "lotClass" to "example", "desk" to "team", "lotKind" to kind, "urgency" to "normal", "crates" to 2,
        "cores" to 4.0, "accelerators" to 1.0, "memGb" to 8.0, "catchImage" to "img-1", "pullGb" to 1.0, "rigs" to null,
        "hall" to null,
        "samePlace" to false,
        "spread" to false,
        "borrowedRigs" to true,
        "haulS" to 1.0,
        "tallyS" to 0.0,
        "stowS" to 0.0, "closingS" to null,
    )

    private fun exampleSettings(ports: List<Int>): Map<String, Any?> {
        val (clients, cluster, cloud, state, nobody) = ports.map { "127.0.0.1:$it" }
        return linkedMapOf(
            "node_name" to "rehearsal-0",
            "zone" to "a",
            "client_listen" to clients,
            "cluster_listen" to cluster,
            // A peer that isn't there: the code that greets it is rehearsed as well.
            "known" to listOf(linkedMapOf("node_name" to "rehearsal-1", "zone" to "b", "address" to nobody)),
            "external" to linkedMapOf("cloud" to cloud, "state" to state),
            "settings" to linkedMapOf(
                "zones" to listOf("a", "b"),
                "teams" to
                    listOf(
                        linkedMapOf(
                            "name" to "team",
                            "cpus" to 0.0,
                            "cpus_max" to 0.0,
                            "gpus" to 0.0,
                            "gpus_max" to 64.0,
                        ),
                    ),
                "workers" to
                    linkedMapOf(
                        "report_s" to 0.5,
                        "lease_s" to 10.0,
                        "gang_wait_s" to 30.0,
                        "gang_peer_s" to 5.0,
                        "cancel_s" to 40.0,
                    ),
                "state" to linkedMapOf("rps" to 200.0, "write_rps" to 50.0, "value_kb" to 8.0, "txn_ops" to 8),
                "cloud" to linkedMapOf("rps" to 10.0, "list_lag_s" to 1.0),
            ),
        )
    }
}
