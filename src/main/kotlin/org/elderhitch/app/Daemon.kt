package org.elderhitch.app

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.http.HttpClient
import org.elderhitch.http.HttpServer
import org.elderhitch.http.channelGroup
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Settings
import org.elderhitch.time.SystemSteadyClock
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import java.security.SecureRandom
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.random.asKotlinRandom
import kotlin.system.exitProcess

/** The long-running process. One thread runs everything; a second one only waits for the sockets. */
internal object Daemon {
    private const val EXIT_SETTINGS = 2
    private const val OUTGOING_SOCKETS = 48

    fun run(config: String) {
        val log = LoggerFactory.getLogger("elderhitch")
        val settings = try {
            Settings.parse(File(config).readBytes())
        } catch (e: MalformedJson) {
            System.err.println("elderhitch: $config: ${e.message}")
            exitProcess(EXIT_SETTINGS)
        } catch (e: IOException) {
            System.err.println("elderhitch: $config can't be read: ${e.message}")
            exitProcess(EXIT_SETTINGS)
        }
        val loop = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop") }
        loop.removeOnCancelPolicy = true
        val failures = CoroutineExceptionHandler { _, error -> log.error("a coroutine failed", error) }
        val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + failures)
        val group = channelGroup(loop)
        val client = HttpClient(group, SystemSteadyClock)
        val controller = Controller(scope, settings, FleetPolicy(), client, SystemSteadyClock, SecureRandom().asKotlinRandom())
        val server = HttpServer(group, scope, SystemSteadyClock, (settings.maxSockets - OUTGOING_SOCKETS).coerceAtLeast(OUTGOING_SOCKETS))
        scope.launch {
            controller.start()
            server.listen(settings.clientListen, controller.clients)
            server.listen(settings.clusterListen, controller.peers)
            log.info("node up node={} clients={} cluster={}", settings.node, settings.clientListen, settings.clusterListen)
        }
    }
}
