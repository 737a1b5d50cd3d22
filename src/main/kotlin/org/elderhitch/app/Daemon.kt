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
import org.elderhitch.settings.PolicyScript
import org.elderhitch.settings.ScriptException
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

/**
 * The long-running process of a controller. One thread, the event loop, runs all of its code; a second thread only
 * waits for I/O events. An error in a settings or features file ends the process with a message and exit code 2.
 */
internal object Daemon {
    private const val EXIT_BAD_SETTINGS = 2

    /** Sockets reserved for outgoing connections; also the minimum number for incoming ones. */
    private const val OUTGOING_SOCKETS = 80
    private val log = LoggerFactory.getLogger("elderhitch")

    /** Reads the settings file, or exits with a message that names the invalid field. */
    fun settings(config: String): Settings = try {
        Settings.parse(File(config).readBytes())
    } catch (e: MalformedJson) {
        exit("$config: ${e.message}")
    } catch (e: IOException) {
        exit("$config can't be read: ${e.message}")
    }

    /** Reads the features file, or exits: users rely on features, so an error must not silently disable them. */
    private fun features(file: File): Features = try {
        FeaturesFile.load(file)
    } catch (e: ScriptException) {
        exit(e.message.orEmpty())
    }

    private fun exit(reason: String): Nothing {
        System.err.println("elderhitch: $reason")
        exitProcess(EXIT_BAD_SETTINGS)
    }

    /** The executor of the event loop: one thread, which keeps the process alive. */
    fun eventLoop(): ScheduledThreadPoolExecutor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop") }.apply { removeOnCancelPolicy = true }

    /** A scope whose coroutines run on [loop]. A failure of one is logged and doesn't cancel the others. */
    fun scope(loop: ScheduledThreadPoolExecutor): CoroutineScope {
        val failures = CoroutineExceptionHandler { _, error -> log.error("a coroutine failed", error) }
        return CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + failures)
    }

    /** Runs a controller until the process is killed. */
    fun run(config: String, policyFile: String?, featuresFile: String?) {
        val settings = settings(config)
        val policy = if (policyFile == null) FleetPolicy() else PolicyScript.load(File(policyFile))
        val features = if (featuresFile == null) Features.NONE else features(File(featuresFile))
        val loop = eventLoop()
        val scope = scope(loop)
        val group = channelGroup(loop)
        val controller = Controller(
            scope,
            settings,
            policy,
            HttpClient(group, SystemSteadyClock),
            SystemSteadyClock,
            SystemWallClock,
            SecureRandom().asKotlinRandom(),
            features,
            onMissingFeature = ::exit,
        )
        val server = HttpServer(group, scope, SystemSteadyClock, maxIncomingConnections(settings))
        scope.launch {
            listen(server, settings, controller)
            controller.start()
            log.info(
                "node up node={} clients={} cluster={}",
                settings.node,
                settings.clientListen,
                settings.clusterListen,
            )
        }
    }

    private fun maxIncomingConnections(settings: Settings): Int =
        (settings.maxSockets - OUTGOING_SOCKETS).coerceAtLeast(OUTGOING_SOCKETS)

    private fun listen(server: HttpServer, settings: Settings, controller: Controller) {
        try {
            server.listen(settings.clientListen, controller.clientHandler)
            server.listen(settings.clusterListen, controller.peerHandler)
        } catch (e: IOException) {
            exit("can't listen on ${settings.clientListen} or ${settings.clusterListen}: ${e.message}")
        }
    }
}
