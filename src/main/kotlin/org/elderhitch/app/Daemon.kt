package org.elderhitch.app

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.elderhitch.features.Features
import org.elderhitch.features.FeaturesFile
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.http.HttpClient
import org.elderhitch.http.HttpServer
import org.elderhitch.http.channelGroup
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.BadScript
import org.elderhitch.settings.PolicyScript
import org.elderhitch.settings.Settings
import org.elderhitch.time.SystemSteadyClock
import org.elderhitch.time.SystemWallClock
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
    private const val OUTGOING_SOCKETS = 80
    private val log = LoggerFactory.getLogger("elderhitch")

    /** The settings, or the end of the process with a message that names what is wrong. */
    fun settings(config: String): Settings = try {
        Settings.parse(File(config).readBytes())
    } catch (e: MalformedJson) {
        System.err.println("elderhitch: $config: ${e.message}")
        exitProcess(EXIT_SETTINGS)
    } catch (e: IOException) {
        System.err.println("elderhitch: $config can't be read: ${e.message}")
        exitProcess(EXIT_SETTINGS)
    }

    /** What is switched on, or the end of the process: users rely on it, so it isn't left out because of a mistake. */
    private fun features(file: File): Features = try {
        FeaturesFile.load(file)
    } catch (e: BadScript) {
        System.err.println("elderhitch: ${e.message}")
        exitProcess(EXIT_SETTINGS)
    }

    fun loop(): ScheduledThreadPoolExecutor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop") }.apply { removeOnCancelPolicy = true }

    fun scope(loop: ScheduledThreadPoolExecutor): CoroutineScope {
        val failures = CoroutineExceptionHandler { _, error -> log.error("a coroutine failed", error) }
        return CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + failures)
    }

    fun run(config: String, policyFile: String?, featuresFile: String?) {
        val settings = settings(config)
        val policy = if (policyFile == null) FleetPolicy() else PolicyScript.load(File(policyFile))
        val features = if (featuresFile == null) Features.NONE else features(File(featuresFile))
        val loop = loop()
        val scope = scope(loop)
        val group = channelGroup(loop)
        val client = HttpClient(group, SystemSteadyClock)
        val controller =
            Controller(
                scope,
                settings,
                policy,
                client,
                SystemSteadyClock,
                SystemWallClock,
                SecureRandom().asKotlinRandom(),
                features,
            ) { reason ->
                System.err.println("elderhitch: $reason")
                exitProcess(EXIT_SETTINGS)
            }
        val server =
            HttpServer(
                group,
                scope,
                SystemSteadyClock,
                (settings.maxSockets - OUTGOING_SOCKETS).coerceAtLeast(OUTGOING_SOCKETS),
            )
        scope.launch {
            try {
                server.listen(settings.clientListen, controller.clients)
                server.listen(settings.clusterListen, controller.peers)
            } catch (e: IOException) {
                System.err.println(
                    "elderhitch: can't listen on ${settings.clientListen} or ${settings.clusterListen}: ${e.message}",
                )
                exitProcess(EXIT_SETTINGS)
            }
            controller.start()
            log.info(
                "node up node={} clients={} cluster={}",
                settings.node,
                settings.clientListen,
                settings.clusterListen,
            )
        }
    }
}
