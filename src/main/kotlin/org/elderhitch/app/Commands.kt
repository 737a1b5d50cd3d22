package org.elderhitch.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import org.elderhitch.http.Address
import java.io.File

/** Exit codes of the commands; README.md lists them. */
internal object ExitCode {
    const val REFUSED = 1
    const val BAD_ARGUMENT = 2
    const val NO_ANSWER = 3
}

/** `serve`: runs a controller. */
internal class ServeCommand : CoreCliktCommand(name = "serve") {
    private val config by option("--config", help = "the platform's settings file, JSON").required()
    private val policy by option("--policy", help = "the operators' own settings, a Lua script")
    private val features by option("--features", help = "what is switched on beyond the core, a Lua script")

    override fun help(context: Context): String = "Run a controller until it is killed"

    override fun run(): Unit = Daemon.run(config, policy, features)
}

/** `stand-ins`: runs simulated services for a controller to work with. */
internal class StandInsCommand : CoreCliktCommand(name = "stand-ins") {
    private val config by option(
        "--config",
        help = "a controller's settings file, whose addresses they take",
    ).required()

    private val nodes by option(
        "--nodes",
        help = "NAME=ADDRESS of each controller that workers report to, between commas; " +
            "without it, the one of the settings",
    )

    private val uploads by option(
        "--uploads",
        help = "a folder with descriptions of jobs, as `sweep submit --upload` writes them: what workers fetch",
    )

    override fun help(context: Context): String =
        "Run a state service, a cloud and workers of our own, to try a controller out"

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
        "Run a controller against the stand-ins for some seconds; the build makes its class archive so"

    override fun run(): Unit = ClassArchiveTraining.run()

    companion object {
        const val NAME = "train-class-archive"
    }
}
