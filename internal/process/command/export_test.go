package command

// IntakeSettings exposes provideIntakeSettings to the tests.
var IntakeSettings = provideIntakeSettings
