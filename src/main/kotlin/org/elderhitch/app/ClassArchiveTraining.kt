package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.http.Address
import org.elderhitch.http.HttpClient
import org.elderhitch.http.HttpServer
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.settings.Settings
import org.elderhitch.time.SystemSteadyClock
import org.elderhitch.time.SystemWallClock
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The training run for the class data sharing (CDS) archive: a controller serves requests on loopback, with simulated
 * services, so that the archive contains the classes that a controller loads. The build runs it with
 * `-XX:ArchiveClassesAtExit`.
 */
internal object ClassArchiveTraining {
    private const val MAX_ATTEMPTS = 3
    private const val EXIT_FAILURE = 1
    private val TRAINING_DURATION = 7.seconds
    private val POLL_INTERVAL = 200.milliseconds
    private val CANCELLATION_DURATION = 1.seconds
    private val REQUEST_TIMEOUT = 2.seconds
    private val log = LoggerFactory.getLogger("elderhitch.standin")

    /**
     * Runs the training and exits, also after an unexpected error: otherwise the thread of the event loop would keep
     * the process, and the build that waits for it, running for ever. Retries if another process takes one of the
     * ports after it was chosen and before it is bound.
     */
    fun run() {
        repeat(MAX_ATTEMPTS) {
            try {
                train(Settings.parse(Json.bytes(TrainingInputs.settings(freePorts(TrainingInputs.PORT_COUNT)))))
                exitProcess(0)
            } catch (e: IOException) {
                log.error("class archive training failed reason=\"{}\"", e.message)
            } catch (@Suppress("TooGenericExceptionCaught") e: Exception) { // The process must exit after any error.
                log.error("class archive training failed", e)
                exitProcess(EXIT_FAILURE)
            }
        }
        exitProcess(EXIT_FAILURE)
    }

    private fun train(settings: Settings) {
        val loop = Daemon.eventLoop()
        val scope = Daemon.scope(loop)
        val group = channelGroup(loop)
        val client = HttpClient(group, SystemSteadyClock)
        val server = HttpServer(group, scope, SystemSteadyClock, StandInServices.MAX_CONNECTIONS)
        runBlocking {
            withContext(scope.coroutineContext) {
                StandInServices.start(settings, scope, client, server, StandInServices.ownAddress(settings))
                val controller = Controller(
                    scope,
                    settings,
                    FleetPolicy(),
                    client,
                    SystemSteadyClock,
                    SystemWallClock,
                    Random.Default,
                )
                controller.start()
                server.listen(settings.clientListen, controller.clientHandler)
                server.listen(settings.clusterListen, controller.peerHandler)
                sendRequests(client, settings.clientListen)
            }
        }
    }

    private suspend fun sendRequests(client: HttpClient, controller: Address) {
        val deadline = SystemSteadyClock.now() + TRAINING_DURATION
        while (SystemSteadyClock.now() < deadline) {
            for ((index, kind) in listOf("array", "gang", "daemon").withIndex()) {
                val job = Json.bytes(exampleJob("req-$index", kind))
                client.call(controller, "POST", "/work", job, REQUEST_TIMEOUT)
                client.call(controller, "GET", "/work/req-$index", null, REQUEST_TIMEOUT)
            }
            client.call(controller, "GET", "/ready", null, REQUEST_TIMEOUT)
            client.call(controller, "GET", "/status", null, REQUEST_TIMEOUT)
            client.call(controller, "GET", "/work/req-9", null, REQUEST_TIMEOUT)
            delay(POLL_INTERVAL)
        }
        client.call(controller, "POST", "/work/req-2/withdraw", ByteArray(0), REQUEST_TIMEOUT)
        delay(CANCELLATION_DURATION)
    }

    /** Keeps all sockets open until the last port is chosen, so that no port is chosen twice. */
    private fun freePorts(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    /** A small job in its wire format, with the given id and kind. */
    fun exampleJob(id: String, kind: String): Map<String, Any?> = TrainingInputs.job(id, kind)
}
