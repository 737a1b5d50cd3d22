package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.http.Address
import org.elderhitch.http.HttpClient
import org.elderhitch.http.HttpServer
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Settings
import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInFleet
import org.elderhitch.standin.StandInPlatform
import org.elderhitch.standin.TaskObserver
import org.elderhitch.standin.TaskScript
import org.elderhitch.time.SystemSteadyClock
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import kotlin.random.Random

/** Runs simulated services, namely the state service, the cloud and the workers, to try out a controller. */
internal object StandInServices {
    /** The maximum number of connections of the server that hosts the simulated services. */
    const val MAX_CONNECTIONS = 256

    private const val MACHINES_PER_ZONE = 8
    private val log = LoggerFactory.getLogger("elderhitch.standin")

    private object TaskLogger : TaskObserver {
        override fun started(task: String, machine: String) = log.info("task started task={} machine={}", task, machine)

        override fun ended(task: String, machine: String) = log.info("task ended task={} machine={}", task, machine)
    }

    /**
     * Runs the services at the addresses in the settings file [config]. The workers report to [controllers], by default
     * the controller that the settings are for. [uploads] is a directory of job descriptions that workers fetch.
     */
    fun run(config: String, controllers: Map<String, Address>?, uploads: File?) {
        val settings = Daemon.settings(config)
        val loop = Daemon.eventLoop()
        val scope = Daemon.scope(loop)
        val group = channelGroup(loop)
        val client = HttpClient(group, SystemSteadyClock)
        val server = HttpServer(group, scope, SystemSteadyClock, MAX_CONNECTIONS)
        val platform = start(settings, scope, client, server, controllers ?: ownAddress(settings))
        uploads?.let { directory -> platform.uploaded = { job -> readUpload(File(directory, "$job.json")) } }
        log.info("stand-ins up state={} cloud={}", settings.state, settings.cloud)
    }

    /** The client address of the controller that the settings are for; they don't contain those of its peers. */
    fun ownAddress(settings: Settings): Map<String, Address> = mapOf(settings.node.text to settings.clientListen)

    /** Starts the services and listens on their addresses in the settings. */
    fun start(
        settings: Settings,
        scope: CoroutineScope,
        client: HttpClient,
        server: HttpServer,
        controllers: Map<String, Address>,
    ): StandInPlatform {
        val platform = StandInPlatform(
            scope,
            SystemSteadyClock,
            { client },
            controllers,
            settings.workers,
            Random.Default,
            StandInFleet(settings.zones.map { it.name }, MACHINES_PER_ZONE, CloudStandIn.QUICK_BOOT),
            TaskLogger,
        )
        platform.start()
        server.listen(settings.state, platform.state)
        server.listen(settings.cloud, platform.cloud)
        return platform
    }

    /** Null if the file doesn't exist, or if it isn't a job description. */
    private fun readUpload(file: File): TaskScript? = try {
        if (file.isFile) StandInPlatform.script(Json.parseObject(file.readBytes())) else null
    } catch (e: IOException) {
        log.error("upload unreadable file={} reason=\"{}\"", file, e.message)
        null
    } catch (e: MalformedJson) {
        log.error("upload malformed file={} reason=\"{}\"", file, e.message)
        null
    }
}
