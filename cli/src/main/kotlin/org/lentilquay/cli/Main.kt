package org.lentilquay.cli

fun main() = println("lentilquay cli")
