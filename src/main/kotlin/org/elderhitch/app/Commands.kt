package org.elderhitch.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import org.elderhitch.http.Address
import java.io.File

/** Exit codes of the commands, as README.md documents them. */
internal object ExitCode {
    const val REFUSED = 1
    const val BAD_ARGUMENT = 2
    const val NO_ANSWER = 3
}

/** `serve`: runs a controller. */
internal class ServeCommand : CoreCliktCommand(name = "serve") {
    private val config by option("--config", help = "the platform's settings file, JSON").required()
    private val policy by option("--policy", help = "the operators' policy, a Lua script")
    private val features by option("--features", help = "the optional features to enable, a Lua script")

    override fun help(context: Context): String = "Run a controller until it is killed"

    override fun run(): Unit = Daemon.run(config, policy, features)
}

/** `stand-ins`: runs simulated services for a controller to work with. */
internal class StandInsCommand : CoreCliktCommand(name = "stand-ins") {
    private val config by option(
        "--config",
        help = "the settings file of a controller; the services listen on the addresses in it",
    ).required()

    private val nodes by option(
        "--nodes",
        help = "comma-separated NAME=ADDRESS pairs of the controllers that workers report to; " +
            "by default the controller of the settings file",
    )

    private val uploads by option(
        "--uploads",
        help = "a directory of job descriptions for workers to fetch, as `sweep submit --upload` writes them",
    )

    override fun help(context: Context): String =
        "Run a simulated state service, cloud and workers, to try out a controller"

    override fun run(): Unit =
        StandInServices.run(config, nodes?.split(',')?.associate(::controllerAddress), uploads?.let(::File))

    private fun controllerAddress(text: String): Pair<String, Address> {
        val name = text.substringBefore('=')
        val address = Address.parse(text.substringAfter('=')) ?: throw CliktError(
            "--nodes: \"$text\" is not of the form node-0=127.0.0.1:8080",
            statusCode = ExitCode.BAD_ARGUMENT,
        )
        return name to address
    }
}

/** `train-class-archive`: called by the build, see [ClassArchiveTraining]. */
internal class TrainClassArchiveCommand : CoreCliktCommand(name = NAME) {
    override fun help(context: Context): String =
        "Run a controller with simulated services for some seconds; the build records its class archive this way"

    override fun run(): Unit = ClassArchiveTraining.run()

    companion object {
        const val NAME = "train-class-archive"
    }
}
